#include "sardinehollow_routing/selection/MeasuredDemand.h"

#include "sardinehollow_routing/selection/SpillPlan.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

namespace {

// A wave of demand passes from one region to another within half a minute.
constexpr core::Duration lifetime = std::chrono::seconds(3);

// A level that has once been set to a value that is not a number would keep it.
bool isValid(const std::map<std::string, RegionDemand> &demand)
{
    return std::all_of(demand.begin(), demand.end(), [](const auto &item) {
        const RegionDemand &region = item.second;
        return std::isfinite(region.arrivalShare) && std::isfinite(region.load)
                && region.arrivalShare >= 0 && region.load >= 0;
    });
}

} // namespace

MeasuredDemand::MeasuredDemand(std::string region)
    : m_region(std::move(region))
{ }

void MeasuredDemand::apply(const DemandView &view, const BackendRegistry &servers,
                           core::Instant now)
{
    m_view = view;
    m_measuredAt = now;
    m_targets.clear();
    std::erase_if(m_view.services, [](const auto &item) { return !isValid(item.second); });
    for (const auto &[service, demand] : m_view.services) {
        if (const auto target = computeTarget(demand, servers.servers(service)))
            m_targets[service] = *target;
    }
}

std::optional<SpillTarget>
MeasuredDemand::computeTarget(const std::map<std::string, RegionDemand> &demand,
                              const std::vector<BackendStatePtr> &servers) const
{
    double allSlots = 0;
    double nearSlots = 0;
    double allLoad = 0;
    for (const BackendStatePtr &server : servers) {
        const auto found = demand.find(server->region());
        if (server->isLeaving() || found == demand.end())
            continue;
        const double slots = server->server().slots;
        allSlots += slots;
        nearSlots += server->region() == m_region ? slots : 0;
        allLoad += found->second.load * slots;
    }
    if (nearSlots <= 0)
        return std::nullopt;
    // Requests take about as long wherever they come from: the region's share of them is its share
    // of the load.
    const RegionDemand &near = demand.at(m_region);
    const double expected = near.arrivalShare * allLoad / nearSlots;
    const double mean = allLoad / allSlots;
    const bool hasCapacity = isBelowTarget(near.load);
    return SpillTarget {measuredSpill(expected, mean, false), measuredSpill(expected, mean, true),
                        hasCapacity, !hasCapacity && isBelowTarget(mean)};
}

bool MeasuredDemand::isFresh(core::Instant now) const
{
    return m_measuredAt.count() > 0 && now - m_measuredAt < lifetime;
}

std::optional<SpillTarget> MeasuredDemand::spillTarget(const std::string &service,
                                                       core::Instant now) const
{
    const auto found = m_targets.find(service);
    if (!isFresh(now) || found == m_targets.end())
        return std::nullopt;
    return found->second;
}

const std::map<std::string, RegionDemand> *MeasuredDemand::ofService(const std::string &service,
                                                                     core::Instant now) const
{
    if (!isFresh(now))
        return nullptr;
    const auto found = m_view.services.find(service);
    return found == m_view.services.end() ? nullptr : &found->second;
}

} // namespace sardinehollow::routing
