#pragma once

#include <chrono>
#include <string>

namespace sardinehollow::config {

/** A priority class; ranks are served in the order of the configuration, most urgent first. */
struct RankDefinition
{
    std::string name;
    /** Minimum share of a pool's slots, which more urgent work cannot take, in [0, 1). */
    double floorShare = 0.0;
    /** Target latency of requests of the rank. */
    std::chrono::milliseconds latencyTarget {0};

    bool operator==(const RankDefinition &) const = default;
};

} // namespace sardinehollow::config
