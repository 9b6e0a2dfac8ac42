#pragma once

#include "sardinehollow_metrics/PrometheusWriter.h"
#include "sardinehollow_platform/store/CallKind.h"
#include "sardinehollow_platform/store/CallPurpose.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace sardinehollow::platform {

/** Calls that a client of the store has made. Safe for concurrent use. */
class CallCounters
{
public:
    void count(CallKind kind, CallPurpose purpose);
    std::uint64_t calls(CallKind kind, CallPurpose purpose) const;

    /** Appends a counter for each kind and purpose. */
    void appendTo(metrics::PrometheusWriter &writer) const;

private:
    std::array<std::array<std::atomic<std::uint64_t>, callPurposeCount>, callKindCount> m_calls {};
};

} // namespace sardinehollow::platform
