#include "sardinehollow_config/model/Configuration.h"

#include <algorithm>

namespace sardinehollow::config {

std::string_view Configuration::regionOf(std::string_view failureDomain) const
{
    for (const FailureDomain &candidate : failureDomains) {
        if (candidate.name == failureDomain)
            return candidate.region;
    }
    return {};
}

std::size_t Configuration::rankIndex(std::string_view rank) const
{
    const auto found = std::find_if(ranks.begin(), ranks.end(), [rank](const RankDefinition &item) {
        return item.name == rank;
    });
    return static_cast<std::size_t>(found - ranks.begin());
}

const WorkKind *Configuration::workKind(std::string_view name) const
{
    for (const WorkKind &candidate : workKinds) {
        if (candidate.name == name)
            return &candidate;
    }
    return nullptr;
}

const BackendPool *Configuration::pool(std::string_view name) const
{
    for (const BackendPool &candidate : pools) {
        if (candidate.name == name)
            return &candidate;
    }
    return nullptr;
}

bool Configuration::isDrained(DrainTarget target, std::string_view name) const
{
    return std::any_of(drains.begin(), drains.end(), [target, name](const Drain &drain) {
        return drain.target == target && drain.name == name;
    });
}

bool Configuration::isFailureDomainDrained(std::string_view failureDomain) const
{
    return isDrained(DrainTarget::FailureDomain, failureDomain)
            || isDrained(DrainTarget::Region, regionOf(failureDomain));
}

} // namespace sardinehollow::config
