#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::routing {

/** A request that was in flight on a backend server when the server crashed. */
struct CrashReport
{
    /** Fingerprint: hash of caller, method, host, target and body; the same at every daemon. */
    std::uint64_t request = 0;
    /** The server's incarnation: id and start time. */
    std::string server;

    bool operator==(const CrashReport &) const = default;
};

} // namespace sardinehollow::routing
