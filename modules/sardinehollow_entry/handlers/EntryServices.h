#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_entry/claims/ClaimGate.h"
#include "sardinehollow_entry/metrics/Metrics.h"
#include "sardinehollow_entry/shifts/ShiftGate.h"
#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_policy/facade/SteeringPolicy.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace sardinehollow::entry {

/** What the entry server shares with the rest of the daemon; everything outlives the server. */
struct EntryServices
{
    const core::MonotonicClock &clock;
    policy::SteeringPolicy &policy;
    ClaimGate &claims;
    Metrics &metrics;
    logging::EventLog &log;
    /** Failure domain of this daemon. */
    std::string failureDomain;
    std::uint64_t incarnation = 0;
    std::atomic<std::uint64_t> sequence {0};
    std::atomic<std::uint64_t> inFlight {0};
    /** Connections are closed after the response, so that no request is sent on an old one. */
    std::atomic<bool> leaving {false};
    /** Caps of shifts; nullptr if none are kept. */
    ShiftGate *shifts = nullptr;
    /** Whether callers may state their address in a header. */
    bool trustCallerHeader = false;
};

} // namespace sardinehollow::entry
