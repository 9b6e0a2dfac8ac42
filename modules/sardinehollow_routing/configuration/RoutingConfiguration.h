#pragma once

#include "sardinehollow_routing/configuration/CallerLimits.h"
#include "sardinehollow_routing/configuration/Route.h"
#include "sardinehollow_routing/configuration/ServicePolicy.h"
#include "sardinehollow_routing/configuration/Team.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/** One version of the operators' configuration; later versions have higher numbers. */
struct RoutingConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServicePolicy> services;
    CallerLimits limits;
    /** No two teams have the same key. Teams are in use unless this is empty. */
    std::vector<Team> teams {};
};

} // namespace sardinehollow::routing
