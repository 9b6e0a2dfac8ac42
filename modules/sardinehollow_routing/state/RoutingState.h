#pragma once

#include "sardinehollow_core/random/RandomSource.h"
#include "sardinehollow_routing/backends/BackendRegistry.h"
#include "sardinehollow_routing/budgets/RateLimitShares.h"
#include "sardinehollow_routing/budgets/RetryBudget.h"
#include "sardinehollow_routing/configuration/RouteTable.h"
#include "sardinehollow_routing/entries/EntryDirectory.h"
#include "sardinehollow_routing/quarantine/RequestQuarantine.h"
#include "sardinehollow_routing/selection/ServerSelector.h"
#include "sardinehollow_routing/state/RoutingSettings.h"

#include <memory>
#include <set>
#include <string>

namespace sardinehollow::routing {

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/** Routing state and decisions of one daemon. Performs no I/O. Not safe for concurrent use. */
class RoutingState
{
public:
    RoutingState(const RoutingSettings &settings, core::RandomSource &random);

    /** Applies a configuration; returns false and ignores it if it is not newer. */
    bool adopt(RoutingConfiguration configuration);
    /** Route table of the configuration in force; null before the first. */
    const RouteTablePtr &table() const { return m_table; }

    BackendRegistry &backends() { return m_backends; }
    EntryDirectory &entries() { return m_entries; }
    RequestQuarantine &quarantine() { return m_quarantine; }
    const RequestQuarantine &quarantine() const { return m_quarantine; }
    const BackendRegistry &backends() const { return m_backends; }
    const EntryDirectory &entries() const { return m_entries; }
    RankAdmission &admission() { return m_selector.admission(); }
    const RankAdmission &admission() const { return m_selector.admission(); }

    /** Applies the demand over all daemons as measured; without it for 3 s, own counts are used. */
    void applyDemand(const DemandView &view, core::Instant now)
    {
        m_selector.applyDemand(view, now);
    }

    /** Selects one of the route's services by weighted random choice, and records a request for it.
     */
    const std::string &assignService(const Route &route);
    /** Selects the server for the next attempt. */
    Selection select(const RequestScope &scope, const std::string &service,
                     std::uint64_t objectHash, const std::set<std::string> &tried,
                     core::Instant now);
    /** Takes the permits for one request to the selected server, if it is cold or has a limit. */
    void takePermits(BackendState &server, core::Instant now);
    /** Takes a permit for one retry; returns false if the retry budget is spent. */
    bool takeRetryPermit(const std::string &service, core::Instant now);

private:
    /**
     * Returns this daemon's share of the requests that a cold server accepts; 0 to 1. Only a few
     * daemons of the server's region, chosen by rendezvous hashing, send to it.
     */
    double coldPermitShare(const BackendState &server, double coldRate) const;
    /** Updates the shares of the entry daemons that are in this daemon's region and domain. */
    void updateDemandShares();
    /** Updates this daemon's shares of the request limits of a service's servers. */
    void updateRateLimitShares(const std::string &service);
    /** Updates the sender count, and this daemon's shares of what a service's servers accept. */
    void updateSenderCounts(const std::string &service, core::Instant now);

    const std::string m_vmName;
    const std::string m_region;
    const std::string m_failureDomain;
    const std::map<std::string, std::string> m_regions;
    std::uint64_t m_demandChangeCount = 0;
    core::RandomSource &m_random;
    RouteTablePtr m_table;
    BackendRegistry m_backends;
    EntryDirectory m_entries;
    ServerSelector m_selector;
    RetryBudget m_retries;
    /** By service. */
    std::map<std::string, RateLimitShares> m_rateLimitShares;
    RequestQuarantine m_quarantine;
};

} // namespace sardinehollow::routing
