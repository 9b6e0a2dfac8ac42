#pragma once

#include "sardinehollow_core/errors/Error.h"
#include "sardinehollow_gateway/peers/PeerLink.h"
#include "sardinehollow_gateway/peers/TeamIds.h"
#include "sardinehollow_gateway/peers/UsageCoordinator.h"
#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_routing/demand/DemandMeter.h"
#include "sardinehollow_routing/quotas/QuotaGate.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sardinehollow::metrics {
class PrometheusWriter;
}

namespace sardinehollow::gateway {

/**
 * Reports this daemon's use of quotas and services to a coordinator, a relay of its failure domain,
 * and applies the verdicts. On a relay it also runs the coordinator. All functions are to be called
 * on the event loop's thread.
 */
class UsageExchange : private PeerListener
{
public:
    struct Settings
    {
        std::string vm;
        std::string failureDomain;
        /** Whether the demand is measured and shared. */
        bool sharesDemand = false;
        /** Larger after each start of this daemon. */
        std::uint64_t incarnation = 0;
        /** Regions by failure domain. */
        std::map<std::string, std::string> regions;
    };
    using Clock = std::function<core::Instant()>;
    using DemandHandler = std::function<void(const routing::DemandView &, core::Instant)>;

    UsageExchange(Settings settings, PeerLink &link, const routing::EntryDirectory &entries,
                  routing::QuotaGate &gate, routing::DemandMeter &meter, Clock clock,
                  logging::EventLog &log, DemandHandler onDemand);

    /** Sets the quotas in force by team name; teams without a limit are not reported. */
    void setQuotas(const UsageCoordinator::Quotas &quotas);
    /** Sets the slots of the backend servers by service and region. */
    void setSlots(UsageCoordinator::Slots slots);
    /** Whether there are quotas, or demand is shared; otherwise no messages are sent. */
    bool isInUse() const { return !m_quotas.empty() || m_settings.sharesDemand; }
    /** Sends what is due; to be called at the poll interval. */
    void onTick();
    core::Duration pollInterval() const;

    void appendMetrics(metrics::PrometheusWriter &writer) const;

private:
    struct Counters
    {
        std::uint64_t reportsSent = 0;
        std::uint64_t reportsReceived = 0;
        std::uint64_t summariesSent = 0;
        std::uint64_t summariesReceived = 0;
        std::uint64_t verdictsSent = 0;
        std::uint64_t verdictsReceived = 0;
    };

    void onPeerMessage(const peer::wire::Envelope &envelope) override;
    void onReport(const std::string &daemon, const UsageMessage &report);
    void onSummary(const std::string &coordinator, const UsageMessage &summary);
    void onVerdict(const std::string &coordinator, const VerdictMessage &verdict);

    /** Creates or removes the coordinator, and tells it the daemons known. */
    void updateRole(core::Instant now);
    void sendReport(core::Instant now);
    bool isReportDue(core::Instant now) const;
    /** Returns the coordinators of all failure domains but this daemon. */
    std::set<std::string> otherCoordinators() const;
    void sendSummary(const UsageMessage &summary, bool toStandbys, core::Instant now);
    void sendVerdict(const std::string &daemon, bool withDemand, core::Instant now);
    /** Sends the summary that is due, and what cannot wait for the next one. */
    void runCoordinator(core::Instant now);
    /** Returns the coordinator to report to; empty if there is none. */
    std::string receiver(core::Instant now);
    /** Returns the failure domain of a daemon; null if it is not in the directory. */
    const std::string *domainOf(const std::string &daemon) const;
    core::Duration verdictTimeout() const;
    void checkVerdicts(core::Instant now);
    void logTeams(const routing::QuotaVerdict &verdict, core::Instant now);
    void logUnreadable(const std::string &sender, const core::Error &error);

    const Settings m_settings;
    PeerLink &m_link;
    const routing::EntryDirectory &m_entries;
    routing::QuotaGate &m_gate;
    routing::DemandMeter &m_meter;
    const Clock m_clock;
    logging::EventLog &m_log;
    const DemandHandler m_onDemand;
    const core::Instant m_startedAt;
    /** Only teams with a limit. */
    UsageCoordinator::Quotas m_quotas;
    UsageCoordinator::Slots m_slots;
    TeamIds m_teamIds;
    /** Set while this daemon is a coordinator. */
    std::optional<UsageCoordinator> m_coordinator;
    std::optional<std::uint64_t> m_entryChanges;
    core::Instant m_reportedAt {0};
    core::Instant m_demandReportedAt {0};
    core::Instant m_summarizedAt {0};
    std::string m_receiver;
    core::Instant m_receiverSince {0};
    /** When the last verdict came; empty before the first. */
    std::optional<core::Instant> m_verdictAt;
    bool m_isVerdictLost = false;
    std::set<std::string> m_limitedTeams;
    /** What was last logged of a team, and when. */
    std::map<std::string, std::pair<bool, core::Instant>> m_loggedTeams;
    Counters m_counters;
};

} // namespace sardinehollow::gateway
