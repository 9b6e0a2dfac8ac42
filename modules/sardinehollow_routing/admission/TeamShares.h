#pragma once

#include "sardinehollow_routing/admission/RecentShare.h"

#include <cstdint>
#include <limits>
#include <unordered_map>

namespace sardinehollow::routing {

/**
 * Recent requests of one rank by team, to find the teams that send more than their fair part while
 * requests are refused. The number of teams kept is bounded. Not safe for concurrent use.
 */
class TeamShares
{
public:
    /** Records the end of a team's request; teams are named by a hash. */
    void onOutcome(std::uint64_t team, bool isRefused, core::Instant now);
    /** Whether requests are refused and the team sends clearly more than its fair part. */
    bool isInExcess(std::uint64_t team, core::Instant now) const;

private:
    /** Removes the team with the fewest recent requests. */
    void removeSmallest(core::Instant now);
    /**
     * Computes the fair part: the largest number of recent requests per team at which the total is
     * what was served (max-min fairness).
     */
    void updateFairPart(core::Instant now);

    RecentShare m_refused;
    std::unordered_map<std::uint64_t, RecentShare> m_teams;
    /** Number of recent requests; infinite while nothing is refused. */
    double m_fairPart = std::numeric_limits<double>::infinity();
    core::Instant m_updatedAt {0};
};

} // namespace sardinehollow::routing
