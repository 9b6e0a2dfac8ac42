#pragma once

#include "sardinehollow_gateway/peers/SummaryFilter.h"
#include "sardinehollow_gateway/peers/UsageMessage.h"
#include "sardinehollow_gateway/peers/VerdictMessage.h"
#include "sardinehollow_routing/demand/DemandCoordinator.h"
#include "sardinehollow_routing/quotas/QuotaCoordinator.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::gateway {

/**
 * The part of a relay that sums reports and answers them: the coordinators of quotas and of demand,
 * and what of their results is worth a message. Not safe for concurrent use.
 */
class UsageCoordinator
{
public:
    using Quotas = std::map<std::string, routing::TeamQuota>;
    using Slots = std::map<std::string, std::map<std::string, double>>;

    /** The incarnation is larger each time that this daemon becomes a coordinator. */
    UsageCoordinator(std::string domain, std::uint64_t incarnation, bool sharesDemand,
                     core::Instant now);

    void setQuotas(const Quotas &quotas, core::Instant now);
    /** Sets the slots of the backend servers by service and region. */
    void setSlots(const Slots &slots) { m_demand.setSlots(slots); }
    /** Sets the number of daemons of each failure domain, and its region. */
    void setDomains(const std::map<std::string, std::size_t> &daemonCounts,
                    const std::map<std::string, std::string> &regions);
    void advance(core::Instant now);
    void onReport(const std::string &daemon, const std::string &domain, const UsageMessage &report,
                  core::Instant now);
    void onSummary(const std::string &coordinator, const std::string &domain,
                   const UsageMessage &summary, core::Instant now);
    /**
     * Returns the answer to a report. Returns nothing if none is possible yet, and while this
     * coordinator does not hear, itself or by the other coordinators of its failure domain, from
     * more than half of its daemons: cut off from them, it would grant their part of the quotas.
     */
    std::optional<VerdictMessage> verdictFor(const std::string &daemon, bool withDemand,
                                             core::Instant now);
    struct Summaries
    {
        /** For coordinators that answer reports. */
        UsageMessage forActive;
        /** For coordinators that would take over if another one failed. */
        UsageMessage forStandby;
    };

    /** Returns the summaries to send to all other coordinators. */
    Summaries summaries(core::Instant now);
    /** Whether a coordinator has stated lately that no daemon reports to it. */
    bool isStandby(const std::string &coordinator, core::Instant now) const;
    /** Returns a summary to send to active coordinators at once; nothing if no team's usage has
     * grown much. */
    std::optional<UsageMessage> urgentSummary(core::Instant now);
    /** Returns the daemons to send a verdict to at once, since a team's factor has fallen much. */
    std::vector<std::string> daemonsToNotify(core::Instant now);

private:
    struct Group
    {
        std::size_t daemons = 0;
        core::Instant heardAt {0};
    };

    /** When a daemon got what not every verdict has. */
    struct Sent
    {
        /** Its shares of teams that are not limited. */
        core::Instant sharesAt {0};
        core::Instant demandAt {0};
    };

    /** Returns the number of daemons heard from lately. */
    std::size_t countDaemons(const std::map<std::string, Group> &groups, core::Instant now) const;

    const std::string m_domain;
    const std::uint64_t m_incarnation;
    const bool m_sharesDemand;
    bool m_hasQuotas = false;
    routing::QuotaCoordinator m_quotas;
    routing::DemandCoordinator m_demand;
    SummaryFilter m_activeFilter;
    SummaryFilter m_standbyFilter;
    core::Instant m_demandSummarizedAt {0};
    /** Number of daemons of the own failure domain according to the directory. */
    std::size_t m_daemonCount = 1;
    std::map<std::string, Group> m_reporters;
    /** The other coordinators of the own failure domain, with their reporters. */
    std::map<std::string, Group> m_neighbours;
    /** Coordinators that had no reporters in their last summary, and when it came. */
    std::map<std::string, core::Instant> m_standbys;
    std::map<std::string, Sent> m_sent;
};

} // namespace sardinehollow::gateway
