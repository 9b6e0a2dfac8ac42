#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_policy/facade/AttemptReport.h"
#include "sardinehollow_policy/facade/BackendReport.h"
#include "sardinehollow_policy/facade/Decision.h"
#include "sardinehollow_policy/facade/PolicySettings.h"
#include "sardinehollow_policy/facade/PoolStatus.h"
#include "sardinehollow_policy/facade/PoolSummary.h"
#include "sardinehollow_policy/peers/PeerView.h"
#include "sardinehollow_policy/pool/OwnershipLease.h"
#include "sardinehollow_policy/pool/PeerSlots.h"
#include "sardinehollow_policy/pool/PendingRequest.h"
#include "sardinehollow_policy/pool/QuarantineList.h"
#include "sardinehollow_policy/pool/RankQueue.h"
#include "sardinehollow_policy/pool/RankScheduler.h"
#include "sardinehollow_policy/pool/RequestIdHash.h"
#include "sardinehollow_policy/pool/ServerSet.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sardinehollow::policy {

/**
 * Admission control and scheduling for one backend pool: owned slots, queues by rank, forwarding to
 * peers and retries. Thread-safe; one mutex guards all state.
 */
class PoolShard
{
public:
    /** Both references must outlive the shard. */
    PoolShard(std::string pool, const PolicySettings &settings, QuarantineList &quarantine);

    /** Applies a configuration and a membership view, and derives slot ownership from them. */
    void update(const std::shared_ptr<const config::Configuration> &configuration,
                const std::shared_ptr<const PeerView> &peers);
    /** Admits, forwards, queues or refuses a new request. */
    Decision offer(const RequestOffer &request);
    /** Ends an attempt; the released slot may lead to decisions about other requests. */
    std::vector<Decision> complete(const AttemptReport &report);
    /** Removes a request whose caller has disconnected. */
    std::vector<Decision> cancel(const core::RequestId &id);
    /** Renews the lease, refuses requests that waited too long and starts those that can start. */
    std::vector<Decision> advance(core::Instant now);
    void onBackendReport(const BackendReport &report);
    void onSummary(const PoolSummary &summary, core::Instant now);

    PoolSummary summary(core::Instant now);
    PoolStatus status(core::Instant now);

private:
    using Requests = std::unordered_map<core::RequestId, PendingRequest, RequestIdHash>;

    void updateWorkKinds();
    /** Moves the time forward and refreshes server states and rank accounting if needed. */
    void advanceClock(core::Instant now);
    /**
     * Returns a refusal if the request is quarantined, its deadline is too close or neither this
     * daemon nor a peer can serve it, else nothing.
     */
    std::optional<Decision> refuseOnArrival(const RequestOffer &request, const WorkKindState &kind);
    /** Dispatches the request to an owned server or forwards it; nothing if neither is possible. */
    std::optional<Decision> start(PendingRequest &request);
    /** Dispatches the request to an owned server with a free slot, if its rank may start now. */
    std::optional<Decision> dispatch(PendingRequest &request);
    Decision startOrEnqueue(PendingRequest &request);
    /** Forwards to a peer with a free slot or with a shorter estimated wait than the given one. */
    std::optional<Decision> forward(PendingRequest &request, core::Duration wait);
    Decision enqueue(PendingRequest &request);
    /**
     * Evicts a request of the same work kind from the caller with the most queued requests, if that
     * makes the shares of the callers more equal. Returns whether it did so.
     */
    bool evictFromLargestCaller(const PendingRequest &request);
    void dequeue(PendingRequest &request);
    std::optional<Decision> startNext(std::size_t rank);
    std::optional<Decision> startRetry(std::size_t rank);
    void startQueued(std::vector<Decision> &decisions);
    void refuseExpired(std::vector<Decision> &decisions);
    /** Releases the slot of an ended attempt; hadSlot applies to forwarded requests only. */
    void release(PendingRequest &request, bool hadSlot);
    void recordOutcome(const PendingRequest &request, const AttemptReport &report);
    Decision decideAfterAttempt(PendingRequest &request, const AttemptReport &report,
                                bool wasForwarded);
    /** Places a request again, once, after a peer rejected it; nothing if that is impossible. */
    std::optional<Decision> reroute(PendingRequest &request);
    std::optional<Decision> retry(PendingRequest &request);
    bool isRetryable(const PendingRequest &request, const AttemptReport &report) const;
    Decision refuse(const PendingRequest &request, RefusalReason reason) const;
    /** Returns the reason for refusing a request that could not start in time. */
    RefusalReason queuedRefusalReason(const PendingRequest &request) const;
    core::Duration retryAfter(std::size_t rank) const;
    PoolSummary::Rank rankSummary(std::size_t rank) const;
    /** Returns the estimated local wait, or Duration::max() if this daemon admits no requests. */
    core::Duration estimatedLocalWait(std::size_t rank, std::size_t waiting) const;
    /** Returns the earliest time at which an owned slot accepts requests. */
    core::Instant admitsAt() const;
    /** Returns how long a request forwarded by a peer may wait here. */
    core::Duration maximumForwardedWait(const PendingRequest &request) const;
    /** Returns the least time before the deadline at which a request may start. */
    core::Duration minimumRemainingTime(const WorkKindState &kind) const;

    const std::string m_pool;
    const PolicySettings &m_settings;
    QuarantineList &m_quarantine;
    std::mutex m_mutex;
    std::shared_ptr<const config::Configuration> m_configuration;
    std::shared_ptr<const PeerView> m_peers;
    core::Instant m_now {0};
    core::Instant m_refreshedAt {0};
    /** Whether inputs of the server states or limits changed since the last refresh. */
    bool m_mustRefresh = true;
    OwnershipLease m_lease;
    ServerSet m_servers;
    PeerSlots m_peerSlots;
    RankScheduler m_scheduler;
    std::map<std::string, std::shared_ptr<WorkKindState>> m_kinds;
    Requests m_requests;
    /** One queue per rank, most urgent first. */
    std::vector<RankQueue> m_queues;
    /** Requests that wait for a retry, per rank; the retry budget keeps the lists short. */
    std::vector<std::vector<core::RequestId>> m_waitingRetries;
    /** Refusals of requests evicted from full queues; returned by the next advance. */
    std::vector<Decision> m_evictionRefusals;
    std::uint64_t m_lateCompletions = 0;
    std::uint64_t m_retryCount = 0;
    std::uint64_t m_forwardCount = 0;
};

} // namespace sardinehollow::policy
