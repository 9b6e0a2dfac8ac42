#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstddef>

namespace sardinehollow::network {

/** Size limits and timeouts of a caller's connection. */
struct ConnectionLimits
{
    /** Maximum size of a request's head. */
    std::size_t headerBytes = 0;
    /** Maximum time from the first byte of a request's head to its last. */
    core::Duration headerTimeout {0};
    /** Maximum time that a connection stays open without a request. */
    core::Duration idleTimeout {0};
};

} // namespace sardinehollow::network
