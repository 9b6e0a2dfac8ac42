#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/configuration/TeamQuota.h"
#include "sardinehollow_routing/quotas/RateMeter.h"

#include <map>
#include <string>

namespace sardinehollow::routing {

/**
 * What the daemons of a failure domain use of the quotas, as a coordinator sees it. A domain that
 * is not heard from counts with its part of the quota instead. Not safe for concurrent use.
 */
class DomainUsage
{
public:
    explicit DomainUsage(core::Instant now);

    core::Instant heardAt() const { return m_heardAt; }
    void onHeard(core::Instant now);
    bool isSilent() const { return m_isSilent; }
    /** Becomes silent after 0.6 s without messages; returns whether this happened now. */
    bool checkSilence(core::Instant now);

    /** Records charged requests; returns how many of them are not accounted for yet. */
    double add(const std::string &team, double charged, core::Instant now);
    /** Returns the charged requests per second; the last ones known for a silent domain. */
    double rate(const std::string &team, core::Instant now) const;
    /** Fixes the domain's share in a team's requests, when it becomes silent. */
    void setLastShare(const std::string &team, double share);
    /**
     * Returns the requests per second with which the silent domain counts, and accounts for them
     * since the last call. The fraction is that of the daemons that are in the domain.
     */
    double reserve(const std::string &team, const TeamQuota &quota, double daemonFraction,
                   core::Instant now);
    /** Completes a round of calls to `reserve`. */
    void setReservedAt(core::Instant now) { m_reservedAt = now; }
    /** Discards the teams that the predicate does not select. */
    template <typename Predicate>
    void retainTeams(const Predicate &isKept)
    {
        std::erase_if(m_teams, [&isKept](const auto &entry) { return !isKept(entry.first); });
    }

private:
    struct TeamShare
    {
        RateMeter charged {std::chrono::seconds(2)};
        double lastShare = 0;
        /** Requests accounted for while the domain was silent. */
        double prepaid = 0;
    };

    core::Instant m_heardAt;
    core::Instant m_reservedAt;
    /** When the domain was heard from again. */
    core::Instant m_returnedAt {0};
    bool m_isSilent = false;
    std::map<std::string, TeamShare> m_teams;
};

} // namespace sardinehollow::routing
