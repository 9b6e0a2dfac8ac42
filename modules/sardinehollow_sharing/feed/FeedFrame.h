#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_platform/store/KeyValue.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace sardinehollow::sharing {

/** What a relay tells a follower about the store. */
struct FeedFrame
{
    /** Time of sending, by the follower's clock, of the follower's request that this answers. */
    core::Instant requestedAt {0};
    /**
     * Time at which the relay's contents were current, relative to the arrival of the request. It
     * may be negative; empty if they may never have been current.
     */
    std::optional<core::Duration> currentAfterRequest;
    /** The frame has all changes after this revision, up to and including `revision`. */
    std::int64_t afterRevision = 0;
    std::int64_t revision = 0;
    /** The relay does not hold all changes after the follower's revision; the frame has none. */
    bool isHistoryLost = false;
    /** The changes are all keys of the store at `revision`, for a follower that has none. */
    bool isSnapshot = false;
    /** Number of times that the relay has regained the store. */
    std::uint64_t recoveries = 0;
    /** In the order of their revisions. Shared by the frames of followers at the same revision. */
    std::shared_ptr<const std::vector<platform::KeyValue>> changes;
};

} // namespace sardinehollow::sharing
