#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::platform {

/** How often a watch by long polling calls the store. */
struct WatchPacing
{
    /** Pause after a report of changes, so that changes in quick succession take one call. */
    core::Duration pauseAfterChanges {0};
    /** Pause after a call that reported no changes. */
    core::Duration pauseWithoutChanges {0};
    /** How long the store may hold a call while nothing changes. */
    core::Duration longestWait = std::chrono::seconds(20);
};

} // namespace sardinehollow::platform
