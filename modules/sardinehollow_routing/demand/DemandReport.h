#pragma once

#include "sardinehollow_routing/demand/ServiceUsage.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardinehollow::routing {

/** Use of the services by the callers of a daemon, or of all that report to a coordinator. */
struct DemandReport
{
    /** Increases with each report of an incarnation, so that late and repeated ones are ignored. */
    std::uint64_t sequence = 0;
    /** By service name. */
    std::map<std::string, ServiceUsage> services;
    bool operator==(const DemandReport &) const = default;
};

} // namespace sardinehollow::routing
