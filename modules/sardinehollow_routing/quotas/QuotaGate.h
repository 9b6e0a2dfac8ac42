#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/configuration/Team.h"
#include "sardinehollow_routing/quotas/QuotaVerdict.h"
#include "sardinehollow_routing/quotas/UsageReport.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace sardinehollow::routing {

/**
 * Admits the requests of teams at one daemon, by the verdicts of a coordinator or, without any for
 * 0.7 s, by this daemon's share of the quota. Teams without a limit are neither counted nor
 * limited. Teams without requests for 60 s are forgotten. Not safe for concurrent use.
 */
class QuotaGate
{
public:
    /** The seed, a hash of the daemon's name, spreads what the daemons of a deployment admit. */
    explicit QuotaGate(std::uint64_t seed);

    /** Counts a request and returns whether it is within the quota. */
    bool admit(const Team &team, core::Instant now);
    /** Charges a request that is sent to a backend server; called for each attempt. */
    void onSent(const Team &team, core::Instant now);
    /** Refunds a sent request that the backend server did not run. */
    void onNotRun(const Team &team);
    /**
     * Whether to send a report: every 200 ms, and after 50 ms if many requests were admitted since
     * the last one, so that a flood is noticed early.
     */
    bool isReportDue(core::Instant now) const;
    /**
     * Returns the counters to send next. Called for each report that is sent, since the verdicts
     * refer to its sequence.
     */
    UsageReport report(core::Instant now);
    /** Takes over a verdict; one that is older than the latest is ignored. */
    void apply(const QuotaVerdict &verdict, core::Instant now);
    /**
     * Whether a report was not answered within 300 ms, and no verdict came for 400 ms. The next one
     * is sent to another coordinator then, unless this one was chosen less than 300 ms ago.
     */
    bool isVerdictOverdue(core::Instant now) const;
    /**
     * Returns the time after which a refused request is likely to be admitted; 0.3 s to 4 s. The
     * times are spread, so that callers refused together do not return together.
     */
    core::Duration retryAfter(const Team &team, core::Instant now) const;
    /** Sets the number of known daemons; the largest one counts. */
    void setDaemonCount(std::size_t count);
    /** Whether requests are admitted by this daemon's share, for lack of a recent verdict. */
    bool isLocal(core::Instant now) const;

private:
    struct PendingReport
    {
        UsageReport report;
        core::Instant sentAt {0};
    };

    struct TeamState
    {
        TeamCounters total;
        /** The counters in the latest acknowledged report. */
        TeamCounters acknowledged;
        double factor = 1;
        double share = 0;
        core::Instant shareAt {0};
        /** Part of a request that may be admitted; reaches 1 for each one that is. */
        double credit = 0;
        /** Requests that may be admitted without a verdict. */
        double localPermits = 0;
        core::Instant localAt {0};
        core::Instant usedAt {0};
        /** Requests that passed since the last report. */
        std::uint64_t unreported = 0;
        std::uint64_t refusals = 0;
    };

    TeamState &stateOf(const std::string &team, core::Instant now);
    /** Whether few enough requests were admitted since the ones that the verdicts know. */
    static bool isWithinWindow(const TeamState &state, const TeamQuota &quota);
    bool admitByFactor(TeamState &state) const;
    bool admitLocally(TeamState &state, const TeamQuota &quota, core::Instant now) const;
    /** Returns this daemon's share of a quota while it has no recent verdict. */
    double localShare(const TeamState &state, core::Instant now) const;
    void acknowledge(std::uint64_t sequence);

    const std::uint64_t m_seed;
    std::size_t m_peakDaemonCount = 1;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_acknowledged = 0;
    core::Instant m_verdictAt {0};
    std::unordered_map<std::string, TeamState> m_teams;
    /** Reports that no verdict has acknowledged yet; the latest ones. */
    std::deque<PendingReport> m_pending;
    core::Instant m_reportedAt {0};
    /** Whether many requests of a team were admitted since the last report. */
    bool m_hasSurge = false;
};

} // namespace sardinehollow::routing
