#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstddef>

namespace sardinehollow::network {

/** Bounds on what a connection of a caller may hold and for how long. */
struct ConnectionLimits
{
    std::size_t headerBytes = 0;
    /** From the first byte of a request's head to its last. */
    core::Duration headerTimeout {0};
    /** How long a connection may stay open without a request. */
    core::Duration idleTimeout {0};
};

} // namespace sardinehollow::network
