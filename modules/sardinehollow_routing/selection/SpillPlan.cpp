#include "sardinehollow_routing/selection/SpillPlan.h"

#include <algorithm>

namespace sardinehollow::routing {

namespace {

// Utilisation up to which a region's servers take requests of their own region, relative to the
// mean utilisation of all servers. Above it, queueing costs more than the way to another region.
constexpr double relativeUtilization = 1.4;
constexpr double relativeUtilizationForLarge = 2.0;
// Part of its fair share of the slots below which a failure domain's servers would get more objects
// than they can cache.
constexpr double minimumDomainShare = 0.75;
// Utilisation up to which a region's servers take requests of their own region, by measured demand.
// Large responses, which cost more to transfer, stay until the servers would be fully busy.
constexpr double targetUtilization = 0.7;
constexpr double targetUtilizationForLarge = 1.0;
// A level at its limit may change by 0.10 in 2 s. The rest of the 0.15 that the platform allows is
// for requests beyond the level, of which there may be 0.04, and for chance.
constexpr double levelChangePerSecond = 0.05;

} // namespace

double plannedSpill(double capacityShare, double demandShare, bool hasLargeResponses)
{
    if (capacityShare <= 0 || demandShare <= 0)
        return 0;
    const double utilization
            = hasLargeResponses ? relativeUtilizationForLarge : relativeUtilization;
    return std::clamp(1 - utilization * capacityShare / demandShare, 0.0, 1.0);
}

double measuredSpill(double expectedUtilization, double meanUtilization, bool hasLargeResponses)
{
    const double target = std::max(
            hasLargeResponses ? targetUtilizationForLarge : targetUtilization, meanUtilization);
    return expectedUtilization <= target ? 0 : 1 - target / expectedUtilization;
}

bool isBelowTarget(double utilization)
{
    return utilization < targetUtilization;
}

double approachedLevel(double level, double target, core::Duration elapsed)
{
    const double change = levelChangePerSecond * std::chrono::duration<double>(elapsed).count();
    return std::clamp(target, level - change, level + change);
}

bool hasDomainCapacity(double capacityShare, double demandShare)
{
    return demandShare <= 0 || capacityShare >= minimumDomainShare * demandShare;
}

} // namespace sardinehollow::routing
