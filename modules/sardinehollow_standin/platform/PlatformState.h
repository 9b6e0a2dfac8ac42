#pragma once

#include "sardinehollow_standin/platform/CallCounts.h"
#include "sardinehollow_standin/platform/LaggingVmList.h"
#include "sardinehollow_standin/platform/RateLimit.h"
#include "sardinehollow_standin/server/SilentConnections.h"
#include "sardinehollow_standin/settings/StandinSettings.h"
#include "sardinehollow_standin/store/MemoryStore.h"

#include <atomic>
#include <optional>

namespace sardinehollow::standin {

/** The state of the simulated platform, with its fault switches. */
struct PlatformState
{
    PlatformState(const core::MonotonicClock &clock, const StandinSettings &settings)
        : store(clock, settings.historyLimit)
        , vms(clock, settings.vms)
        , writeLimit(clock, settings.writesPerSecond)
        , readLimit(clock, settings.readsPerSecond)
        , maxValueBytes(settings.maxValueBytes)
        , progressInterval(settings.progressInterval)
    { }

    MemoryStore store;
    LaggingVmList vms;
    RateLimit writeLimit;
    RateLimit readLimit;
    CallCounts calls;
    const std::uint64_t maxValueBytes;
    const std::chrono::milliseconds progressInterval;
    /** Owned by the platform's listener; set once the listener is open. */
    SilentConnections *silentConnections = nullptr;
    /** Answer every call with 503 (Service Unavailable). */
    std::atomic<bool> outage {false};
    /** Delay before each call takes effect. */
    std::atomic<std::int64_t> delayMilliseconds {0};
    /** Number of further writes that take effect and whose replies are dropped. */
    std::atomic<int> lostReplies {0};
    std::atomic<bool> stopping {false};
    std::mutex snapshotMutex;
    std::optional<MemoryStore::Snapshot> snapshot;
};

} // namespace sardinehollow::standin
