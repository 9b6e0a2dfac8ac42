#pragma once

#include "sardinehollow_routing/quotas/TeamVerdict.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardinehollow::routing {

/** A coordinator's answer to a daemon's usage report. */
struct QuotaVerdict
{
    /** Sequence of the latest report that the coordinator has counted. */
    std::uint64_t acknowledged = 0;
    /** By team name; the requests of a team without an entry are all admitted. */
    std::map<std::string, TeamVerdict> teams;
    bool operator==(const QuotaVerdict &) const = default;
};

} // namespace sardinehollow::routing
