#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_policy/facade/AttemptReport.h"
#include "sardinehollow_policy/facade/BackendReport.h"
#include "sardinehollow_policy/facade/Decision.h"
#include "sardinehollow_policy/facade/PolicySettings.h"
#include "sardinehollow_policy/facade/PoolStatus.h"
#include "sardinehollow_policy/facade/PoolSummary.h"
#include "sardinehollow_policy/facade/QuarantineEntry.h"
#include "sardinehollow_policy/facade/RequestOffer.h"
#include "sardinehollow_policy/lookup/ClientBlockTable.h"
#include "sardinehollow_policy/lookup/LookupPlanner.h"
#include "sardinehollow_policy/peers/PeerView.h"
#include "sardinehollow_policy/pool/PoolShard.h"
#include "sardinehollow_policy/pool/QuarantineList.h"

#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <vector>

namespace sardinehollow::policy {

/**
 * Makes the steering decisions of one daemon. Does no I/O, starts no thread and reads no clock: the
 * daemon passes events with their time and carries out the decisions that are returned. Safe for
 * concurrent use; the state of each backend pool is under its own lock.
 */
class SteeringPolicy
{
public:
    explicit SteeringPolicy(const PolicySettings &settings = {});
    SteeringPolicy(const SteeringPolicy &) = delete;
    SteeringPolicy &operator=(const SteeringPolicy &) = delete;

    /** Applies a configuration. Returns false if it is not newer than the current one. */
    bool applyConfiguration(const std::shared_ptr<const config::Configuration> &configuration);
    /** Replaces the view of live daemons; it must contain the local one. */
    void onPeers(const std::shared_ptr<const PeerView> &peers);
    /** Sets the fraction of the callers that each shift moves now. */
    void setShiftFractions(ShiftFractions fractions);

    /** Returns the entry VMs that a caller should use for a work kind. */
    LookupAnswer lookUp(const std::string &workKind, const core::IpAddress &caller) const;

    /** Returns the home region of a caller's site, or an empty string if none is known yet. */
    std::string homeRegion(const core::IpAddress &caller) const;

    /** Decides whether to dispatch, forward, queue or refuse a request that has arrived. */
    Decision offer(const RequestOffer &request);
    /**
     * Handles the end of an attempt. The first decision, if any, is for the same request: Finish,
     * or what follows for a further attempt.
     */
    std::vector<Decision> complete(const AttemptReport &report);
    /** Removes a request whose caller has disconnected; returns decisions for other requests. */
    std::vector<Decision> cancel(const core::RequestId &id);
    /**
     * Renews the lease on owned slots, refuses queued requests that have waited for too long and
     * starts those that can run. Call it every few milliseconds.
     */
    std::vector<Decision> advance(core::Instant now);
    /** Handles a report of a backend server about its load and whether it is leaving. */
    void onBackendReport(const BackendReport &report);

    /** Returns the summaries of all pools to send to peers in the failure domain. */
    std::vector<PoolSummary> summaries(core::Instant now) const;
    /** Handles the summaries of a peer in the failure domain. */
    void onSummaries(const std::vector<PoolSummary> &summaries, core::Instant now);
    /** Returns the fingerprints that this daemon itself quarantined, to announce to peers. */
    std::vector<QuarantineEntry> quarantine(core::Instant now) const;
    /** Adds the fingerprints that a peer quarantined. */
    void onQuarantine(const std::vector<QuarantineEntry> &entries, core::Instant now);
    /**
     * Whether the daemon may admit requests: its lease on slots is in force and no owned backend
     * server is in its hold-off. One condition of the daemon's readiness.
     */
    bool isAdmitting(core::Instant now) const;
    /** Returns the state of each pool for operators. */
    std::vector<PoolStatus> statuses(core::Instant now) const;

    /** Returns the current configuration, or nullptr. */
    std::shared_ptr<const config::Configuration> configuration() const;
    /** Returns the current view of live daemons, or nullptr. */
    std::shared_ptr<const PeerView> peers() const;

private:
    struct Snapshot
    {
        std::shared_ptr<const config::Configuration> configuration;
        std::shared_ptr<const PeerView> peers;
        std::shared_ptr<const ClientBlockTable> blockTable;
        ShiftFractions shiftFractions;
        std::shared_ptr<const LookupPlanner> planner;
        std::map<std::string, std::shared_ptr<PoolShard>> shards;
    };

    std::shared_ptr<const Snapshot> snapshot() const;
    /** Replaces the snapshot; the caller holds the lock. */
    void publish(Snapshot next);

    const PolicySettings m_settings;
    QuarantineList m_quarantine;
    mutable std::shared_mutex m_mutex;
    std::shared_ptr<const Snapshot> m_snapshot = std::make_shared<Snapshot>();
};

} // namespace sardinehollow::policy
