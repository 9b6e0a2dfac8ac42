#pragma once

#include "sardinehollow_metrics/PrometheusWriter.h"
#include "sardinehollow_platform/store/CallKind.h"
#include "sardinehollow_platform/store/CallPurpose.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace sardinehollow::platform {

/** Counts a client's calls to the store by kind and purpose. Safe for concurrent use. */
class CallCounters
{
public:
    void count(CallKind kind, CallPurpose purpose);
    std::uint64_t calls(CallKind kind, CallPurpose purpose) const;

    /** Appends one sample of store_calls_total for each kind and purpose. */
    void appendTo(metrics::PrometheusWriter &writer) const;

private:
    std::array<std::array<std::atomic<std::uint64_t>, callPurposeCount>, callKindCount> m_calls {};
};

} // namespace sardinehollow::platform
