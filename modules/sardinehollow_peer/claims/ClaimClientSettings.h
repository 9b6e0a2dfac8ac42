#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstddef>

namespace sardinehollow::peer {

/** Intervals, time-outs and limits of a claim client. */
struct ClaimClientSettings
{
    /** Time without an answer after which a call is resent, to the next candidate. */
    core::Duration resendInterval = std::chrono::milliseconds(300);
    /** Delay before a call is resent after a daemon answered that it does not own the scope. */
    core::Duration notOwnerDelay = std::chrono::milliseconds(50);
    /** Time-out of a begin call; long enough for another daemon to take over the scope. */
    core::Duration beginTimeout = std::chrono::seconds(6);
    /** How long a finish or release call is resent if it is not acknowledged. */
    core::Duration reportTimeout = std::chrono::seconds(60);
    /** Maximum number of finish and release calls that await their acknowledgement. */
    std::size_t reportLimit = 20000;
};

} // namespace sardinehollow::peer
