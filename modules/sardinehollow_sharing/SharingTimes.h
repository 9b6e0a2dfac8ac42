#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::sharing {

/** Intervals and limits of the sharing of the store's contents within a failure domain. */
struct SharingTimes
{
    /**
     * Derives all times from the longest time until a change of the store must be known. A change
     * is known in time even if it is made just after the last report of a relay's watch: the
     * maximum age and one read of the store add up to less than the bound. Two reports of a relay
     * are well below the maximum age apart: a pause, a wait of the store, a frame interval and the
     * delays between them.
     */
    explicit SharingTimes(core::Duration maxStoreDelay)
        : frameInterval(maxStoreDelay / 12)
        , maximumAge(maxStoreDelay * 3 / 5)
        , watchPause(maxStoreDelay / 4)
        , watchWait(maxStoreDelay / 8)
        , ownWatchPause(maxStoreDelay / 2)
        , ownWatchWait(maxStoreDelay * 2 / 5)
    { }

    /** Interval between a relay's frames to a follower while nothing changes. */
    core::Duration frameInterval;
    /** Interval between a follower's requests to its relays. */
    core::Duration followInterval = std::chrono::milliseconds(500);
    /** Time without a request after which a relay forgets a follower. */
    core::Duration followLifetime = std::chrono::milliseconds(2500);
    /** Age of a relay's knowledge from which a follower reads the store itself. */
    core::Duration maximumAge;
    /** Time for which the relays' knowledge must be fresh before a follower stops its own watch. */
    core::Duration settlingTime = std::chrono::seconds(1);
    /** Time after the last call that the store answered from which it counts as unreachable. */
    core::Duration contactLifetime = std::chrono::milliseconds(2500);
    /** Pause of a relay's watch after each call. */
    core::Duration watchPause;
    /** How long the store may hold a call of a relay's watch. */
    core::Duration watchWait;
    /** Pause after changes of a watch that no other daemon depends on. */
    core::Duration ownWatchPause;
    /**
     * How long the store may hold a call of such a watch. A call that it neither answers nor cuts
     * hides changes for that time; with the pause before it, they must still be known in time.
     */
    core::Duration ownWatchWait;
};

} // namespace sardinehollow::sharing
