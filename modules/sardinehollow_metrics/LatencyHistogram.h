#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <memory>
#include <string>

namespace sardinehollow::metrics {

/**
 * Histogram of the request latencies of one label set, with logarithmic buckets from 0.1 ms to
 * 1000 s. Not safe for concurrent use.
 */
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();

    /** Counts a latency: below the range in the lowest bucket, above it only in the +Inf bucket. */
    void record(core::Duration latency);
    /** Appends the bucket, sum and count lines in the Prometheus text format. */
    void appendTo(std::string &text, const std::string &labels) const;

private:
    struct Storage;

    std::unique_ptr<Storage> m_storage;
};

} // namespace sardinehollow::metrics
