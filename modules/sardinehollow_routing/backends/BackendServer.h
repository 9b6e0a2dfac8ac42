#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sardinehollow::routing {

/** A backend server as described by its entry in the platform's store. */
struct BackendServer
{
    /** Identifies one incarnation of the server, unless the server restarts under the same id. */
    std::string id;
    std::string service;
    /** IP address and port. */
    std::string address;
    std::string failureDomain;
    /** Number of requests that it runs concurrently. */
    std::uint32_t slots = 1;
    bool isDraining = false;
    /** Remaining warm-up time (slow start), counted from when the entry was written. */
    std::chrono::nanoseconds coldFor {0};
    /** Unix time of its start, in milliseconds; 0 if unknown. */
    std::int64_t startedAt = 0;
    /** Grows with the entries that one incarnation writes. */
    std::int64_t sequence = 0;
};

} // namespace sardinehollow::routing
