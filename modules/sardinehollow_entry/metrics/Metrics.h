#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_policy/reasons/RefusalReason.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sardinehollow::metrics {
class LatencyHistogram;
}

namespace sardinehollow::entry {

/** Counters, gauges and latency histograms of one daemon. Safe for concurrent use. */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    void countRefusal(policy::RefusalReason reason);
    void countRetry(policy::RefusalReason reason);
    void countLookup();
    void recordLatency(const std::string &rank, const std::string &kind, core::Duration latency);
    /** Adds to a counter that is not counted by reason; the name omits the common prefix. */
    void add(const std::string &name, std::uint64_t amount = 1);
    void setGauge(const std::string &name, double value);

    /** Returns all values in the Prometheus text format. */
    std::string prometheusText() const;

private:
    using ReasonCounters = std::array<std::atomic<std::uint64_t>, policy::refusalReasonCount>;

    ReasonCounters m_refusals {};
    ReasonCounters m_retries {};
    std::atomic<std::uint64_t> m_lookups {0};
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<metrics::LatencyHistogram>> m_latencies;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
};

} // namespace sardinehollow::entry
