#include "sardinehollow_routing/configuration/RequestScope.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>

namespace sardinehollow::routing {

namespace {

bool isHome(const std::vector<std::string> &homes, const std::string &region)
{
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

} // namespace

int RequestScope::rank() const
{
    return team ? team->rank.value_or(route.rank) : route.rank;
}

std::optional<std::uint64_t> RequestScope::teamHash() const
{
    if (!team)
        return std::nullopt;
    return core::stableHash(team->name);
}

bool RequestScope::allowsRegion(const std::string &region) const
{
    return isHome(route.homeRegions, region) && (!team || isHome(team->homeRegions, region));
}

} // namespace sardinehollow::routing
