#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_core/time/Instant.h"

#include <string>
#include <vector>

namespace sardinehollow::bench {

/** A deployment of section 1.2 of the design page with its workload. */
struct BenchDeployment
{
    struct Kind
    {
        std::string name;
        /** Mean run time on a warm backend server. */
        core::Duration serviceTime {0};
        /** Requests per second without a surge, over all regions. */
        double rate = 0.0;
        /** Slots of the servers that are dedicated to the kind. */
        std::uint32_t dedicatedSlots = 0;
    };

    std::string name;
    config::Configuration configuration;
    /** In the order of configuration.workKinds; a kind has the same index as its rank. */
    std::vector<Kind> kinds;
    /** One-way latency between failure domains of a region; within one it is a quarter of this. */
    core::Duration domainLatency {0};
    /** One-way latency between regions. */
    core::Duration regionLatency {0};
    /** One-way latency between a caller and a daemon of its region. */
    core::Duration clientLatency {0};
    std::uint32_t daemonsPerDomain = 2;

    std::uint32_t totalSlots() const;
};

BenchDeployment makeLakeshore();
BenchDeployment makeHanbit();

} // namespace sardinehollow::bench
