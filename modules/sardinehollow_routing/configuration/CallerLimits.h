#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstddef>

namespace sardinehollow::routing {

/** Limits on the size and duration of callers' requests. */
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 64 * 1024 * 1024;
    /** Time from the first to the last byte of a request's head. */
    core::Duration headerTimeout = std::chrono::seconds(3);
    /** Time that a connection may stay open without a request. */
    core::Duration idleTimeout = std::chrono::seconds(15);
};

} // namespace sardinehollow::routing
