#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::routing {

/** A daemon that callers may connect to. */
struct EntryDaemon
{
    /** Name of the daemon's VM. */
    std::string name;
    /** IP address and port of its caller listener. */
    std::string address;
    std::string failureDomain;
    std::string region;
    bool operator==(const EntryDaemon &) const = default;
};

} // namespace sardinehollow::routing
