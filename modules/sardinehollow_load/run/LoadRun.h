#pragma once

#include "sardinehollow_core/time/SystemClock.h"
#include "sardinehollow_load/caller/Caller.h"
#include "sardinehollow_load/experiment/Experiment.h"
#include "sardinehollow_load/results/KindResults.h"
#include "sardinehollow_load/results/ViolationCounts.h"
#include "sardinehollow_load/schedule/Arrival.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <set>
#include <vector>

namespace sardinehollow::load {

/** One run of an experiment against a running system. */
class LoadRun
{
public:
    LoadRun(const Experiment &experiment, const Target &target, std::uint64_t seed);

    /** Sends all requests and applies all faults; returns when every request has a result. */
    void execute();

    const std::vector<KindResults> &kinds() const { return m_kinds; }
    const ViolationCounts &violationCounts() const { return m_violationCounts; }

private:
    void sendRequests(core::Instant start, std::size_t kind);
    void applyFaults(core::Instant start);
    void printProgress(core::Instant start);
    void record(const Arrival &arrival, const RequestResult &result);
    void waitUntil(core::Instant instant) const;

    const Experiment &m_experiment;
    const Target &m_target;
    core::SystemClock m_clock;
    /** Arrivals by work kind; each kind has its own threads, so that none delays another. */
    std::vector<std::vector<Arrival>> m_arrivals;
    std::size_t m_requestCount = 0;
    std::deque<Caller> m_callers;
    /** Index of the next arrival to send, by work kind. */
    std::deque<std::atomic<std::size_t>> m_nextArrivals;
    std::atomic<std::size_t> m_finishedCount {0};
    std::mutex m_mutex;
    std::vector<KindResults> m_kinds;
    /** Idempotency keys of requests whose every try was reported as not run. */
    std::set<std::string> m_notRunKeys;
    ViolationCounts m_violationCounts;
};

} // namespace sardinehollow::load
