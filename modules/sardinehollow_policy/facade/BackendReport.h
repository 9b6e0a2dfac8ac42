#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** Load and state that a backend server reports about itself; may be out of date or wrong. */
struct BackendReport
{
    std::string backendServer;
    /** Requests in flight at the server, from all senders. */
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
    /** Whether the server is about to leave and must not get new requests. */
    bool leaving = false;
    /** Time at which the daemon received the report. */
    core::Instant now {0};
};

} // namespace sardinehollow::policy
