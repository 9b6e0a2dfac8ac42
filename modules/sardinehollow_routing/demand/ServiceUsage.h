#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sardinehollow::routing {

/** Use of a service by the callers of a daemon, or of several. */
struct ServiceUsage
{
    /** Cumulative number of requests that arrived. */
    std::uint64_t arrivals = 0;
    /** Cumulative time that backend servers took for completed requests, in seconds. */
    double busySeconds = 0;
    /** Requests in flight to the backend servers of each region. */
    std::map<std::string, std::uint32_t> inFlight;
    bool operator==(const ServiceUsage &) const = default;
};

} // namespace sardinehollow::routing
