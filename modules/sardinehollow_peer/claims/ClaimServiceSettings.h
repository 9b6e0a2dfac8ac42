#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstddef>
#include <string>

namespace sardinehollow::peer {

/** Limits, intervals and time-outs of a claim service. */
struct ClaimServiceSettings
{
    std::string failureDomain;
    /** VM and incarnation of the local daemon. */
    std::string holder;
    /**
     * Minimum interval between the starts of two appends; bounds the rate of writes to the store.
     */
    core::Duration batchInterval = std::chrono::milliseconds(20);
    /**
     * Maximum size of a batch; the store's JSON mapping enlarges it by a third, and the result must
     * stay below 1 MB.
     */
    std::size_t batchBytes = 512 * 1024;
    /** Memory for claims; begin calls that would exceed it are refused. */
    std::size_t memoryBytes = 48 * 1024 * 1024;
    /** Size of the journal at which an epoch ends, so that one read can load it. */
    std::size_t epochBytes = 4 * 1024 * 1024;
    /** Age after which an epoch ends, so that its journal can be dropped as a whole. */
    core::Duration epochAge = std::chrono::hours(1);
    /** How long new keys are accepted in the scope of an epoch that has ended. */
    std::chrono::seconds scopeGracePeriod {600};
    /** Time-out of a begin call that waits for its append. */
    core::Duration commitTimeout = std::chrono::seconds(2);
    /** How long the lease is certain to be valid after the start of the request that renewed it. */
    core::Duration leaseDuration = std::chrono::milliseconds(2500);
    core::Duration renewInterval = std::chrono::seconds(1);
    core::Duration firstRetryDelay = std::chrono::milliseconds(100);
    core::Duration longestRetryDelay = std::chrono::seconds(2);
    /**
     * Maximum number of released claims that are remembered, so that a begin call that arrives
     * after its release is not granted.
     */
    std::size_t releasedLimit = 10000;
};

} // namespace sardinehollow::peer
