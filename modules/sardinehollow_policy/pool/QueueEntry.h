#pragma once

#include "sardinehollow_core/identifiers/RequestId.h"
#include "sardinehollow_core/time/Instant.h"

#include <cstdint>

namespace sardinehollow::policy {

/** A queued request, as stored in the queue of its rank. */
struct QueueEntry
{
    core::RequestId id;
    /** Hash of the caller, for fair queueing. */
    std::uint64_t caller = 0;
    core::Instant arrival {0};
    /** Latest useful start time: the deadline less the expected service time, or earlier. */
    core::Instant latestStart {0};
    /** Arrival number; set by the queue. */
    std::uint64_t sequence = 0;
};

} // namespace sardinehollow::policy
