#pragma once

#include "sardinehollow_routing/quotas/TeamUsage.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardinehollow::routing {

/**
 * Counters of a daemon, or the sums of a coordinator, since the start of their incarnation. Holds
 * only the teams whose counters differ from their base.
 */
struct UsageReport
{
    /** Increases with each report of an incarnation, so that late and repeated ones are ignored. */
    std::uint64_t sequence = 0;
    /** Latest report that a coordinator has acknowledged, at which `base` was taken; 0 if none. */
    std::uint64_t baseSequence = 0;
    /** By team name. */
    std::map<std::string, TeamUsage> teams;
    bool operator==(const UsageReport &) const = default;
};

} // namespace sardinehollow::routing
