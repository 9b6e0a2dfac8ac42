#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sardinehollow::routing {

/** What a backend server says of itself in the platform's store. */
struct BackendServer
{
    /** Names one start of the server, unless it starts again under the id that it had. */
    std::string id;
    std::string service;
    /** IP address and port. */
    std::string address;
    std::string failureDomain;
    /** Requests that it runs at the same time. */
    std::uint32_t slots = 1;
    bool isDraining = false;
    /** How much longer it stays cold, from the moment at which this was written. */
    std::chrono::nanoseconds coldFor {0};
    /** Unix time of its start in milliseconds; 0 if unknown. */
    std::int64_t startedAt = 0;
};

} // namespace sardinehollow::routing
