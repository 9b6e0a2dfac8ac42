#pragma once

#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_standin/backend/RunCounter.h"
#include "sardinehollow_standin/server/InterruptibleListener.h"
#include "sardinehollow_standin/settings/StandinBackendSettings.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <utility>

namespace sardinehollow::standin {

/** A simulated backend server: its runtime state, fault switches and counters. */
class SimulatedBackend
{
public:
    SimulatedBackend(StandinBackendSettings backend, RunCounter &counter,
                     const core::MonotonicClock &clock, std::uint64_t seed);

    /**
     * Counts a request as in flight; returns whether a slot was free for it. Each call must be
     * paired with releaseSlot(), even if no slot was free.
     */
    bool acquireSlot();
    void releaseSlot();
    /** Service time of the next request for a path, with jitter, cold start and slowness. */
    core::Duration serviceTime(const std::string &path);
    /** In-flight count that GET /load reports: late by the load lag, or set by a fault switch. */
    std::uint32_t reportedInFlight();
    /** Announces that the server is about to leave, or withdraws the announcement. */
    void setLeaving(bool leaving);
    /** Whether leaving was announced more than 3 s ago, after which no request should arrive. */
    bool isPastLeavingGracePeriod() const;
    /** Closes all connections, refuses new ones for the duration, then begins a cold start. */
    void crash(std::chrono::milliseconds duration);

    const StandinBackendSettings settings;
    RunCounter &runCounter;
    const core::MonotonicClock &clock;
    std::unique_ptr<InterruptibleListener> listener;
    std::atomic<bool> stopping {false};
    std::atomic<std::uint32_t> inFlight {0};
    std::atomic<std::uint32_t> highestInFlight {0};
    std::atomic<std::uint64_t> requests {0};
    std::atomic<std::uint64_t> shedRequests {0};
    /** Those of the shed requests for which no slot was free. */
    std::atomic<std::uint64_t> shedOverSlots {0};
    std::atomic<std::uint64_t> cancelledRuns {0};
    std::atomic<std::uint64_t> deadlinesPassed {0};
    std::atomic<std::uint64_t> crashes {0};
    std::atomic<std::uint64_t> requestsAfterLeaving {0};
    std::atomic<bool> leaving {false};
    /** Reject every request as not run. */
    std::atomic<bool> shed {false};
    /** Close the connection after this many bytes of a response body; negative: never. */
    std::atomic<std::int64_t> cutBodyAfterBytes {-1};
    /** Delay between the end of the run and the response. */
    std::atomic<std::int64_t> answerDelayMilliseconds {0};
    /** Factor applied to the service time. */
    std::atomic<double> slowness {1.0};
    /** In-flight count to report instead of the true one; negative: report the true one. */
    std::atomic<std::int64_t> claimedInFlight {-1};
    std::atomic<std::int64_t> loadLagMilliseconds;

private:
    void recordLoad();

    std::mutex m_mutex;
    core::SeededRandom m_random;
    std::deque<std::pair<core::Instant, std::uint32_t>> m_loadHistory;
    std::atomic<core::Instant> m_startTime;
    std::atomic<core::Instant> m_leavingSince {core::Instant(0)};
};

} // namespace sardinehollow::standin
