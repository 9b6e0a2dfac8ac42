#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::routing {

/** A request that was in flight on a backend server when the server crashed. */
struct CrashReport
{
    /** Fingerprint: hash of method, host, target and body; the same at every daemon. */
    std::uint64_t request = 0;
    /** The server's incarnation: id and start time. */
    std::string server;
    /** Whether the publishing daemon has it from another daemon; such a report is not passed on. */
    bool isRelayed = false;

    /** Whether two reports are about the same crash. */
    bool isSameCrash(const CrashReport &other) const
    {
        return request == other.request && server == other.server;
    }
};

} // namespace sardinehollow::routing
