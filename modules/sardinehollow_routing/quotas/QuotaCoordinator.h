#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/configuration/TeamQuota.h"
#include "sardinehollow_routing/quotas/DomainUsage.h"
#include "sardinehollow_routing/quotas/QuotaVerdict.h"
#include "sardinehollow_routing/quotas/TeamBucket.h"
#include "sardinehollow_routing/quotas/UsageReport.h"
#include "sardinehollow_routing/quotas/UsageSource.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/**
 * Sums the requests of teams over all daemons and decides which share of them is admitted. Runs on
 * the relays: it gets the reports of daemons of its failure domain, and the summaries of all other
 * coordinators. Created when the daemon becomes a relay. An incarnation is a number that is larger
 * after each start of a process. Not safe for concurrent use.
 */
class QuotaCoordinator
{
public:
    explicit QuotaCoordinator(core::Instant now);

    /** Sets the quotas by team name; usage of other teams is ignored and forgotten. */
    void setQuotas(const std::map<std::string, TeamQuota> &quotas, core::Instant now);
    /** Sets the number of daemons of each failure domain according to the directory. */
    void setDomains(const std::map<std::string, std::size_t> &daemonCounts);
    void onReport(const std::string &daemon, const std::string &domain, std::uint64_t incarnation,
                  const UsageReport &report, core::Instant now);
    void onSummary(const std::string &coordinator, const std::string &domain,
                   std::uint64_t incarnation, const UsageReport &summary, core::Instant now);
    /**
     * Returns the sums of the reports to send to all other coordinators, also if there are none.
     * Called once for each round of summaries, every 200 ms.
     */
    UsageReport summary();
    /**
     * Returns the sums of the teams of which many requests have passed since the last summary, to
     * send to all other coordinators at once; nothing if there are none, or within 50 ms.
     */
    std::optional<UsageReport> urgentSummary(core::Instant now);
    /**
     * Returns the answer to the latest report of a daemon. Returns nothing for 0.6 s after the
     * start, before the other coordinators' summaries are known, and for an unknown daemon.
     */
    std::optional<QuotaVerdict> verdictFor(const std::string &daemon, core::Instant now);
    /**
     * Returns the daemons to which a verdict is to be sent at once, since a team's factor has
     * fallen much since the last verdicts; none within 50 ms.
     */
    std::vector<std::string> daemonsToNotify(core::Instant now);
    /** Advances time; called every 50 ms. */
    void advance(core::Instant now);

private:
    struct Reporter
    {
        UsageSource source;
        std::string domain;
        /** Charged requests per second by team. */
        std::map<std::string, RateMeter> charged;
    };

    struct TeamSums
    {
        TeamCounters total;
        /** The sums at the last two snapshots, the older one first. */
        TeamCounters base;
        TeamCounters snapshot;
        /** The sums in the last summary. */
        TeamCounters sent;
    };

    DomainUsage &domainUsage(const std::string &domain, core::Instant now);
    void addUsage(const std::string &team, DomainUsage &domain, const UsageDelta &delta,
                  core::Instant now);
    /** Returns a team's charged requests per second over all domains. */
    double totalRate(const std::string &team, core::Instant now) const;
    double daemonFraction(const std::string &domain) const;
    void checkDomains(core::Instant now);
    void updateShares(const std::string &team, core::Instant now);
    void updateReserves(core::Instant now);
    void takeSnapshots(core::Instant now);
    void dropIdle(core::Instant now);

    core::Instant m_startedAt;
    core::Instant m_snapshotAt;
    core::Instant m_urgentSummaryAt {0};
    core::Instant m_notifiedAt {0};
    std::uint64_t m_sequence = 0;
    std::map<std::string, std::size_t> m_daemonCounts;
    std::map<std::string, TeamBucket> m_buckets;
    std::map<std::string, TeamSums> m_sums;
    std::map<std::string, DomainUsage> m_domains;
    std::map<std::string, Reporter> m_reporters;
    std::map<std::string, UsageSource> m_coordinators;
};

} // namespace sardinehollow::routing
