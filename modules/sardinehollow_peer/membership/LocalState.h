#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::peer {

/** State of the local daemon that it publishes to the other daemons. */
struct LocalState
{
    std::uint64_t generation = 0;
    /** Share of the queues in use, in [0, 1]. */
    double load = 0.0;
    std::string claimScope;

    bool operator==(const LocalState &) const = default;
};

} // namespace sardinehollow::peer
