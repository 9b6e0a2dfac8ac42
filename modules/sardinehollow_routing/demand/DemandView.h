#pragma once

#include "sardinehollow_routing/demand/RegionDemand.h"

#include <map>
#include <string>

namespace sardinehollow::routing {

/** Demand over all daemons as a coordinator sees it. */
struct DemandView
{
    /** By service, then by region. */
    std::map<std::string, std::map<std::string, RegionDemand>> services;
    bool operator==(const DemandView &) const = default;
};

} // namespace sardinehollow::routing
