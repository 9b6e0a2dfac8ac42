#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <memory>
#include <string>

namespace sardinehollow::metrics {

/** Latencies of one label set from 0.1 ms to 1000 s. Not safe for concurrent use. */
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void record(core::Duration latency);
    /** Appends bucket, sum and count lines with the given labels. */
    void appendTo(std::string &text, const std::string &labels) const;

private:
    struct Storage;

    std::unique_ptr<Storage> m_storage;
};

} // namespace sardinehollow::metrics
