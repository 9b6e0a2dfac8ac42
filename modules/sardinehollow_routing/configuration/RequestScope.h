#pragma once

#include "sardinehollow_routing/configuration/Route.h"
#include "sardinehollow_routing/configuration/Team.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinehollow::routing {

/** The parts of one version of the configuration that apply to a request. */
struct RequestScope
{
    const Route &route;
    /** Null if the request is from no team. */
    const Team *team = nullptr;

    /** Rank of the team, or of the route if the team has none; 0 is the most urgent. */
    int rank() const;
    /** Hash of the team's name; empty if the request is from no team. */
    std::optional<std::uint64_t> teamHash() const;
    /** Whether the request may run in the region, by the home regions of both route and team. */
    bool allowsRegion(const std::string &region) const;
};

} // namespace sardinehollow::routing
