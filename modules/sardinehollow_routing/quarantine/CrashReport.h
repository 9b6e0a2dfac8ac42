#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::routing {

/** A request that was in flight on a backend server as it died. */
struct CrashReport
{
    /** Hash of caller, method, target and body; equal for the same request at any daemon. */
    std::uint64_t request = 0;
    /** The server's id and start. */
    std::string server;

    bool operator==(const CrashReport &) const = default;
};

} // namespace sardinehollow::routing
