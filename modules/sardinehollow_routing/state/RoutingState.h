#pragma once

#include "sardinehollow_core/random/RandomSource.h"
#include "sardinehollow_routing/backends/BackendRegistry.h"
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

/** All that one daemon believes and decides about requests. No I/O. Not safe for concurrent use. */
class RoutingState
{
public:
    RoutingState(const RoutingSettings &settings, core::RandomSource &random);

    /** Takes over a configuration; one that is not newer is ignored, and false returned. */
    bool adopt(RoutingConfiguration configuration);
    /** The newest configuration; null before the first. */
    const RouteTablePtr &table() const { return m_table; }

    BackendRegistry &backends() { return m_backends; }
    EntryDirectory &entries() { return m_entries; }
    RequestQuarantine &quarantine() { return m_quarantine; }
    const RequestQuarantine &quarantine() const { return m_quarantine; }
    const BackendRegistry &backends() const { return m_backends; }
    const EntryDirectory &entries() const { return m_entries; }

    /** Draws one of the route's services by weight, and notes a request for it. */
    const std::string &startRequest(const Route &route);
    /** Chooses the server of the next attempt. */
    Selection select(const Route &route, const std::string &service, std::uint64_t objectHash,
                     const std::set<std::string> &tried, core::Instant now);
    /** Takes what sending to the selected server uses up. */
    void onSent(BackendState &server, core::Instant now);
    /** Takes the permit for one more attempt of a request; false if the budget is spent. */
    bool takeRetry(const std::string &service, core::Instant now);

private:
    /**
     * This daemon's share of the requests that a cold server bears: a few daemons of its region,
     * chosen by rendezvous hashing, send to it at all.
     */
    double coldShare(const BackendState &server, double coldRate) const;
    /** Tells the servers of a service how many daemons share them. */
    void shareServers(const std::string &service, core::Instant now);

    const std::string m_self;
    const std::string m_region;
    core::RandomSource &m_random;
    RouteTablePtr m_table;
    BackendRegistry m_backends;
    EntryDirectory m_entries;
    ServerSelector m_selector;
    RetryBudget m_retries;
    RequestQuarantine m_quarantine;
};

} // namespace sardinehollow::routing
