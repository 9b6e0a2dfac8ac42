#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_daemon/claims/ClaimServiceRunner.h"
#include "sardinehollow_daemon/claims/StoreClaimJournal.h"
#include "sardinehollow_entry/claims/ClaimGate.h"
#include "sardinehollow_entry/metrics/Metrics.h"
#include "sardinehollow_peer/claims/ClaimClient.h"
#include "sardinehollow_peer/transport/MessageListener.h"
#include "sardinehollow_peer/transport/PeerTransport.h"
#include "sardinehollow_policy/peers/PeerView.h"

#include <memory>

namespace sardinehollow::daemon {

/**
 * Routes claims of idempotency keys: scoped keys go to the daemon that owns their scope, which may
 * be this one; all other keys go to the gate for unscoped keys. Safe for concurrent use, except
 * that onConfiguration() is called from one thread only.
 */
class RoutingClaimGate : public entry::ClaimGate, public peer::MessageListener
{
public:
    struct Identity
    {
        std::string vm;
        std::string failureDomain;
        std::uint64_t incarnation = 0;
    };

    RoutingClaimGate(Identity identity, peer::ClaimJournal &journal, entry::ClaimGate &unscoped,
                     const core::MonotonicClock &clock, entry::Metrics &metrics);

    entry::ClaimAnswer begin(const entry::ClaimRequest &request) override;
    void finish(const entry::ClaimRequest &request, int status, const std::string &body) override;
    void release(const entry::ClaimRequest &request) override;
    /** Handles claim requests and replies; ignores all other messages. */
    void onMessage(const peer::wire::Envelope &envelope) override;

    /** Sets the transport; without one (nullptr) only keys of the local scope can be claimed. */
    void setTransport(peer::PeerTransport *transport);
    void onPeers(const std::shared_ptr<const policy::PeerView> &peers);
    void onConfiguration(const config::Configuration &configuration);
    /** Sends the claim calls and retries that are due. Must be called every few milliseconds. */
    void poll();
    /** Returns the scope that this daemon owns; empty if it owns none. */
    std::string ownScope() const { return m_service.scope(); }
    /** Returns the number of claims that this daemon keeps in memory as owner of a scope. */
    std::size_t claimCount() const { return m_service.claimCount(); }
    /** Whether no scope is owned and the finish or release of every claim is acknowledged. */
    bool isIdle();

private:
    entry::ClaimAnswer beginScoped(const entry::ClaimRequest &request);
    entry::ClaimAnswer toAnswer(const peer::ClaimVerdict &verdict, const std::string &key) const;
    void countAnswer(const entry::ClaimAnswer &answer, bool scoped);
    void send(const std::vector<peer::ClaimMessage> &messages);
    void deliver(const peer::ClaimResponse &response);
    std::vector<std::string> candidates(const std::string &failureDomain) const;
    std::shared_ptr<const policy::PeerView> peers() const;

    const Identity m_identity;
    entry::ClaimGate &m_unscoped;
    const core::MonotonicClock &m_clock;
    entry::Metrics &m_metrics;
    mutable std::mutex m_peersMutex;
    std::shared_ptr<const policy::PeerView> m_peers;
    peer::PeerTransport *m_transport = nullptr;
    std::uint64_t m_configuredGeneration = 0;
    std::mutex m_clientMutex;
    std::condition_variable m_answerArrived;
    peer::ClaimClient m_client;
    ClaimServiceRunner m_service;
};

} // namespace sardinehollow::daemon
