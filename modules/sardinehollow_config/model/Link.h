#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sardinehollow::config {

/** The network link between two regions; the bandwidth applies to each direction. */
struct Link
{
    std::string firstRegion;
    std::string secondRegion;
    std::uint64_t bytesPerSecond = 0;
    std::chrono::microseconds oneWayLatency {0};

    bool operator==(const Link &) const = default;
};

} // namespace sardinehollow::config
