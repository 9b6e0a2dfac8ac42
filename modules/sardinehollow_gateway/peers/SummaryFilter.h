#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/configuration/TeamQuota.h"
#include "sardinehollow_routing/quotas/UsageReport.h"

#include <cstddef>
#include <map>
#include <string>

namespace sardinehollow::gateway {

/**
 * Leaves out of a coordinator's summaries the teams with little new usage, for some time, so that
 * the messages stay small while no team nears its quota. Not safe for concurrent use.
 */
class SummaryFilter
{
public:
    /**
     * The limit is what all failure domains together may leave out, in seconds of a team's rate;
     * the delay is that after which the rest is sent.
     */
    SummaryFilter(double unreportedSeconds, core::Duration maximumDelay);

    void setQuotas(const std::map<std::string, routing::TeamQuota> &quotas) { m_quotas = quotas; }
    /** Sets the number of failure domains, among which a team's unreported usage is divided. */
    void setDomainCount(std::size_t count) { m_domainCount = count; }
    /** Returns the part of the summary to send now; what is left out is sent later. */
    routing::UsageReport select(const routing::UsageReport &summary, core::Instant now);
    /** Records that a summary is sent as a whole. */
    void onSent(const routing::UsageReport &summary, core::Instant now);

private:
    struct Sent
    {
        std::uint64_t requested = 0;
        core::Instant at {0};
    };

    bool isDue(const std::string &team, const routing::TeamUsage &usage, core::Instant now) const;

    const double m_unreportedSeconds;
    const core::Duration m_maximumDelay;
    std::map<std::string, routing::TeamQuota> m_quotas;
    std::size_t m_domainCount = 1;
    std::map<std::string, Sent> m_sent;
    /** Usage that is not sent yet. */
    std::map<std::string, routing::TeamUsage> m_pending;
};

} // namespace sardinehollow::gateway
