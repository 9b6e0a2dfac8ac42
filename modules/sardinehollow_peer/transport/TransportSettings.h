#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace sardinehollow::peer {

/** Settings of a transport. */
struct TransportSettings
{
    std::string vm;
    std::string deployment;
    /** Address to bind, as "IP:port". */
    std::string address;
    std::uint64_t incarnation = 0;
    /** Maximum number of messages that are queued for the I/O thread and for one connection. */
    std::size_t queueLimit = 4096;
    int connectionQueueLimit = 256;
    /** Time-out after which the connection to a daemon that has sent nothing is replaced. */
    core::Duration receiveTimeout = std::chrono::seconds(6);
};

} // namespace sardinehollow::peer
