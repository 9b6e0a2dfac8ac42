#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::config {

/** A failure domain that receives shifted traffic, with its own share of the cap. */
struct ShiftDestination
{
    std::string failureDomain;
    /** Maximum number of shifted requests admitted in any window of one second. */
    std::uint32_t capPerSecond = 0;

    bool operator==(const ShiftDestination &) const = default;
};

} // namespace sardinehollow::config
