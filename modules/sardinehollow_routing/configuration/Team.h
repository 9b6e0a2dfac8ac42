#pragma once

#include "sardinehollow_routing/configuration/TeamQuota.h"

#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/** A group of callers that is identified by its keys. */
struct Team
{
    std::string name;
    /** Secrets; they must not be logged. */
    std::vector<std::string> keys;
    /** Replaces the rank of the route; 0 is the most urgent. */
    std::optional<int> rank;
    TeamQuota quota;
    /** Regions in which requests may run; empty if all may. */
    std::vector<std::string> homeRegions;
};

} // namespace sardinehollow::routing
