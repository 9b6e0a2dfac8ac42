#pragma once

#include "sardinehollow_routing/budgets/RetryBudget.h"
#include "sardinehollow_routing/selection/SelectionSettings.h"

#include <map>
#include <string>

namespace sardinehollow::routing {

/** Settings of one daemon's routing decisions, besides the operators' configuration. */
struct RoutingSettings
{
    /** Name of the daemon's VM. */
    std::string vmName;
    SelectionSettings selection;
    RetryBudgetSettings retries;
    /** Regions by failure domain. */
    std::map<std::string, std::string> regions;
};

} // namespace sardinehollow::routing
