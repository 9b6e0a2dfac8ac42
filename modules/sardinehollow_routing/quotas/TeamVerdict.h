#pragma once

namespace sardinehollow::routing {

/** How a daemon is to treat the requests of a team. */
struct TeamVerdict
{
    /** Share of the requests to admit; 0 to 1. */
    double factor = 1;
    /** The daemon's share in the team's requests that run; 0 to 1. */
    double share = 0;
    bool operator==(const TeamVerdict &) const = default;
};

} // namespace sardinehollow::routing
