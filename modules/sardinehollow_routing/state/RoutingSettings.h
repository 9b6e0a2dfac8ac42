#pragma once

#include "sardinehollow_routing/budgets/RetryBudget.h"
#include "sardinehollow_routing/selection/SelectionSettings.h"

#include <map>
#include <string>

namespace sardinehollow::routing {

/** What the decisions of one daemon depend on besides the operators' configuration. */
struct RoutingSettings
{
    /** Name of the daemon's VM. */
    std::string self;
    SelectionSettings selection;
    RetryBudgetSettings retries;
    /** Regions by failure domain. */
    std::map<std::string, std::string> regions;
};

} // namespace sardinehollow::routing
