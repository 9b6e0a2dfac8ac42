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
    /** IP address and port for messages of other daemons; empty if it takes none. */
    std::string peerAddress = {};
    /** Bandwidth of the VM's network link in Mbit/s; 0 if unknown. */
    double linkMegabits = 0;
    /** Processor share of the VM in cores; 0 if unknown. */
    double cores = 0;
    bool operator==(const EntryDaemon &) const = default;
};

} // namespace sardinehollow::routing
