#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_policy/facade/QueueDiscipline.h"

#include <cstddef>
#include <cstdint>

namespace sardinehollow::policy {

/**
 * Settings of admission control. Tests and benchmarks override them; the daemon uses the defaults.
 */
struct PolicySettings
{
    /**
     * Lease on the owned slots: the longest gap between two calls of advance() after which the
     * shard still admits requests.
     */
    core::Duration ownershipLease = std::chrono::seconds(2);
    /**
     * Time from a change of ownership until the new owner admits requests. Must be longer than the
     * lease, so that the lease of the former owner has expired by then.
     */
    core::Duration ownershipHoldOff = std::chrono::seconds(3);
    /** Time within which a leaving owner is expected to announce the release of its slots. */
    core::Duration releaseTimeout = std::chrono::milliseconds(500);
    /**
     * Longest time that a forwarded request waits at the owner: this or half of the time to its
     * deadline, whichever is longer.
     */
    core::Duration minForwardedWait = std::chrono::milliseconds(250);
    /** Age after which the free slots in a summary of a peer are ignored. */
    core::Duration summaryLifetime = std::chrono::seconds(2);

    QueueDiscipline discipline = QueueDiscipline::LifoUnderOverload;
    /**
     * Queueing delay, as a fraction of the rank's latency target, above which the rank's
     * queue counts as overloaded.
     */
    double overloadDelayFraction = 0.25;
    /** Time for which the wait must stay above that target before ControlledDelay sheds entries. */
    core::Duration queueDelayInterval = std::chrono::milliseconds(100);
    /**
     * Whether a request is refused on arrival if its estimated wait exceeds maxWaitFraction or
     * leaves too little time before its deadline.
     */
    bool refuseEarly = true;
    /**
     * Estimated wait, as a fraction of the rank's latency target, above which a request is refused
     * on arrival.
     */
    double maxWaitFraction = 0.5;
    /**
     * Headroom for more urgent ranks, in standard deviations of their demand. A rank whose requests
     * run long leaves enough slots free for the recent demand of the more urgent ranks plus this
     * many standard deviations. A negative value turns the reserve off. See decision 0012.
     */
    double urgentHeadroom = 0.75;

    /** Retry budget of a work kind: tokens that each request adds; a retry takes one token. */
    double retryTokensPerRequest = 0.1;
    /** Capacity of the retry budget in tokens. */
    double retryTokenCapacity = 20.0;

    /** Slow start: fraction of its slots that a cold server gets at first; at least one slot. */
    double slowStartFraction = 0.25;
    /**
     * Age after which a load report is ignored, and period over which the peak of a server's
     * requests in flight is kept for comparison with its reports.
     */
    core::Duration loadReportLifetime = std::chrono::seconds(2);
    /** Fraction of the configured slots below which a load report cannot reduce the limit. */
    double minReportedSlotsFraction = 0.5;
    /** Time for which a leaving report stays in force although later reports contradict it. */
    core::Duration minLeavingTime = std::chrono::seconds(10);

    /** Outlier ejection: largest fraction of the owned servers that may be avoided at a time. */
    double maxAvoidedShare = 0.5;
    /** Time for which an outlier is first avoided; doubles each time, up to maxAvoidance. */
    core::Duration baseAvoidanceTime = std::chrono::seconds(1);
    core::Duration maxAvoidance = std::chrono::seconds(30);

    /** Time for which requests with a quarantined fingerprint are refused. */
    core::Duration quarantineTime = std::chrono::seconds(60);
    /** Largest number of fingerprints in quarantine, and of those under suspicion. */
    std::size_t quarantineLimit = 1024;
};

} // namespace sardinehollow::policy
