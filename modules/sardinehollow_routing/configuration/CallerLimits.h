#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstddef>

namespace sardinehollow::routing {

/** Bounds on what a caller may send and on how long it may take. */
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 64 * 1024 * 1024;
    /** From the first byte of a request's head to its last. */
    core::Duration headerTimeout = std::chrono::seconds(3);
    /** How long a connection may stay open without a request. */
    core::Duration idleTimeout = std::chrono::seconds(15);
};

} // namespace sardinehollow::routing
