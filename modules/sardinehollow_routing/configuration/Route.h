#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/** One of the services that share the requests of a route. */
struct WeightedService
{
    std::string service;
    /** Relative share; above 0. */
    double weight = 1;
};

/** What requests below one path prefix of a host may do and need. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    /** Whether a request may run more than once. */
    bool isIdempotent = false;
    /** Whether responses are large, so that their way between regions costs more than their run. */
    bool isBulk = false;
    /** Longest time that a caller is kept waiting. */
    core::Duration timeout {0};
    /** Time within which a response is worth most. */
    core::Duration latencyObjective {0};
    /** 0 is the most urgent. */
    int rank = 0;
    std::vector<WeightedService> services;
    /** Largest number of backend servers that one request may be sent to. */
    std::uint32_t maximumAttempts = 1;
    /** Whether a backend server runs requests for an object faster that it has handled lately. */
    bool hasAffinity = false;
    /** Regions in which requests may run; empty if all may. */
    std::vector<std::string> homeRegions;
};

} // namespace sardinehollow::routing
