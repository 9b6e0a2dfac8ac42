#pragma once

#include <cstdint>

namespace sardinehollow::routing {

/** Cumulative numbers of a team's requests. */
struct TeamCounters
{
    /** Requests that arrived. */
    std::uint64_t requested = 0;
    /** Requests that passed the quota check. */
    std::uint64_t passed = 0;
    /** Requests sent to backend servers, less those that did not run there. */
    std::int64_t charged = 0;
    bool operator==(const TeamCounters &) const = default;
};

} // namespace sardinehollow::routing
