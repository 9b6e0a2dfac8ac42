#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/** One of the services among which the requests of a route are split. */
struct WeightedService
{
    std::string service;
    /** Relative share; above 0. */
    double weight = 1;
};

/** Handling of the requests below one path prefix of a host. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    /** Whether a request may run more than once, and can be retried after it may have run. */
    bool isIdempotent = false;
    /** Whether responses are large: transferring them costs more than running the request. */
    bool hasLargeResponses = false;
    /** Longest time until the caller gets a response. */
    core::Duration timeout {0};
    /** Target latency: a response is worth most within this time. */
    core::Duration latencyObjective {0};
    /** 0 is the most urgent. */
    int rank = 0;
    std::vector<WeightedService> services;
    /** Largest number of backend servers that one request may be sent to. */
    std::uint32_t maximumAttempts = 1;
    /** Whether a backend server runs requests faster for an object that it has handled recently. */
    bool hasAffinity = false;
    /** Regions in which requests may run; empty if all may. */
    std::vector<std::string> homeRegions;
    /** Whether requests are served without the key of a team, where teams are in use. */
    bool allowsAnonymous = false;
};

} // namespace sardinehollow::routing
