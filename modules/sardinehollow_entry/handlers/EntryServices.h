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

/** Services that the entry server shares with the rest of the daemon; they outlive the server. */
struct EntryServices
{
    const core::MonotonicClock &clock;
    policy::SteeringPolicy &policy;
    ClaimGate &claims;
    Metrics &metrics;
    logging::EventLog &log;
    /** Failure domain of this daemon. */
    std::string failureDomain;
    /** Incarnation of this daemon; part of each request id. */
    std::uint64_t incarnation = 0;
    /** Last sequence number used in a request id. */
    std::atomic<std::uint64_t> sequence {0};
    /** Requests in flight, including open calls of the claim gate. */
    std::atomic<std::uint64_t> inFlight {0};
    /**
     * The daemon is leaving: connections close after their response, so that no further request is
     * sent on them.
     */
    std::atomic<bool> leaving {false};
    /** Enforces the caps of shifts; nullptr if there are none. */
    ShiftGate *shifts = nullptr;
    /** Whether the caller's address is taken from the Sardinehollow-Caller field. */
    bool trustCallerHeader = false;
};

} // namespace sardinehollow::entry
