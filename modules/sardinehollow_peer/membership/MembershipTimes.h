#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::peer {

/**
 * Intervals and time-outs of the membership protocol; they must be the same in all daemons of a
 * deployment.
 */
struct MembershipTimes
{
    core::Duration heartbeatInterval = std::chrono::milliseconds(500);
    /** A daemon that has sent no heartbeat for this long counts as dead. */
    core::Duration deadAfter = std::chrono::seconds(2);
    /** A daemon that was paused for longer than this has lost its ownership and must rejoin. */
    core::Duration lease = std::chrono::seconds(2);
    /** Hold-off for which a daemon that joins owns nothing; longer than lease. */
    core::Duration holdOff = std::chrono::seconds(3);
    /** Maximum interval between heartbeats that carry the addresses. */
    core::Duration detailsInterval = std::chrono::seconds(10);
    /** Minimum interval at which a relay forwards the generations of other failure domains. */
    core::Duration generationsInterval = std::chrono::seconds(15);
    /** A dead daemon that is not in the VM list is removed after this time. */
    core::Duration removeAfter = std::chrono::minutes(5);
    /** Minimum interval of a relay's periodic summaries to each other failure domain. */
    core::Duration minimumSummaryInterval = std::chrono::seconds(1);
    /**
     * Average spacing of a relay's summaries, which lengthens the interval if there are many
     * failure domains and so bounds the traffic.
     */
    core::Duration summarySpacing = std::chrono::milliseconds(50);
    /**
     * Number of summary intervals without a message after which a failure domain is unreachable.
     */
    int missedSummaryLimit = 5;
};

} // namespace sardinehollow::peer
