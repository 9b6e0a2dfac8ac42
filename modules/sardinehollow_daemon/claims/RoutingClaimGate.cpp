#include "sardinehollow_daemon/claims/RoutingClaimGate.h"

#include "sardinehollow_peer/claims/ClaimCandidates.h"
#include "sardinehollow_peer/claims/ClaimMessages.h"
#include "sardinehollow_peer/claims/ScopedKey.h"
#include "sardinehollow_peer/generated/peer.pb.h"

#include <algorithm>

namespace sardinehollow::daemon {

namespace {

using entry::ClaimAction;
using entry::ClaimAnswer;
using policy::RefusalReason;

constexpr std::size_t maxKeyBytes = 256;
// Limit on the journal appends of all scopes together. The store handles several hundred writes a
// second from all its clients.
constexpr std::int64_t maxAppendsPerSecond = 200;
constexpr std::chrono::milliseconds minBatchInterval {10};

peer::ClaimServiceSettings serviceSettings(const RoutingClaimGate::Identity &identity)
{
    peer::ClaimServiceSettings settings;
    settings.failureDomain = identity.failureDomain;
    settings.holder = identity.vm + "/" + std::to_string(identity.incarnation);
    return settings;
}

std::string_view toName(ClaimAction action)
{
    switch (action) {
    case ClaimAction::Proceed:
        return "proceed";
    case ClaimAction::Replay:
        return "replay";
    case ClaimAction::Unknown:
        return "unknown";
    case ClaimAction::Refuse:
        return "refuse";
    }
    return "unnamed";
}

} // namespace

RoutingClaimGate::RoutingClaimGate(Identity identity, peer::ClaimJournal &journal,
                                   entry::ClaimGate &unscoped, const core::MonotonicClock &clock,
                                   entry::Metrics &metrics)
    : m_identity(std::move(identity))
    , m_unscoped(unscoped)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_client(m_identity.vm, m_identity.incarnation,
               [this](const std::string &failureDomain) { return candidates(failureDomain); }, {})
    , m_service(serviceSettings(m_identity), journal, clock,
                [this](const peer::ClaimResponse &response) { deliver(response); })
{ }

ClaimAnswer RoutingClaimGate::begin(const entry::ClaimRequest &request)
{
    if (request.key.size() > maxKeyBytes) {
        const ClaimAnswer answer {ClaimAction::Refuse, RefusalReason::KeyInvalid, 0, {}, 0};
        countAnswer(answer, false);
        return answer;
    }
    const bool scoped = peer::ScopedKey::parse(request.key).has_value();
    ClaimAnswer answer = scoped ? beginScoped(request) : m_unscoped.begin(request);
    countAnswer(answer, scoped);
    return answer;
}

ClaimAnswer RoutingClaimGate::beginScoped(const entry::ClaimRequest &request)
{
    peer::ClaimCall call;
    call.workKind = request.workKind;
    call.key = request.key;
    call.contentDigest = request.contentDigest;
    call.deadline = request.deadline;
    std::uint64_t claimNumber = 0;
    {
        const std::lock_guard lock(m_clientMutex);
        claimNumber = m_client.begin(std::move(call), m_clock.now());
    }
    poll();
    std::unique_lock lock(m_clientMutex);
    std::optional<peer::ClaimVerdict> verdict;
    // Ends in bounded time, as poll() is called regularly and the client times out each begin call.
    m_answerArrived.wait(lock, [&] {
        verdict = m_client.takeVerdict(claimNumber);
        return verdict.has_value();
    });
    ClaimAnswer answer = toAnswer(*verdict, request.key);
    answer.claimNumber = claimNumber;
    return answer;
}

ClaimAnswer RoutingClaimGate::toAnswer(const peer::ClaimVerdict &verdict,
                                       const std::string &key) const
{
    ClaimAnswer answer;
    answer.reason = verdict.reason;
    answer.status = verdict.status;
    answer.body = verdict.body;
    switch (verdict.result) {
    case peer::ClaimVerdict::Result::Proceed:
        answer.action = ClaimAction::Proceed;
        break;
    case peer::ClaimVerdict::Result::Replay:
        answer.action = ClaimAction::Replay;
        break;
    case peer::ClaimVerdict::Result::Unknown:
        answer.action = ClaimAction::Unknown;
        break;
    case peer::ClaimVerdict::Result::Refuse:
        answer.action = ClaimAction::Refuse;
        break;
    }
    if (verdict.confirmed)
        return answer;
    // A key scoped to another failure domain or an earlier epoch is probably a retry whose first
    // request may have run.
    const std::optional<peer::ScopedKey> scoped = peer::ScopedKey::parse(key);
    const std::shared_ptr<const policy::PeerView> view = peers();
    const bool current = view && scoped && scoped->failureDomain == m_identity.failureDomain
            && std::any_of(view->peers.begin(), view->peers.end(),
                           [&scoped](const policy::Peer &peer) {
                               return peer.claimScope == scoped->scope();
                           });
    if (!current) {
        answer.action = ClaimAction::Unknown;
        answer.reason = RefusalReason::ClaimUnaccounted;
    }
    return answer;
}

void RoutingClaimGate::finish(const entry::ClaimRequest &request, int status,
                              const std::string &body)
{
    if (!peer::ScopedKey::parse(request.key)) {
        m_unscoped.finish(request, status, body);
        return;
    }
    {
        const std::lock_guard lock(m_clientMutex);
        m_client.finish(request.claimNumber, status, body, m_clock.now());
    }
    poll();
}

void RoutingClaimGate::release(const entry::ClaimRequest &request)
{
    m_metrics.add("claims_released_total");
    if (!peer::ScopedKey::parse(request.key)) {
        m_unscoped.release(request);
        return;
    }
    {
        const std::lock_guard lock(m_clientMutex);
        m_client.release(request.claimNumber, m_clock.now());
    }
    poll();
}

void RoutingClaimGate::countAnswer(const ClaimAnswer &answer, bool scoped)
{
    m_metrics.add(std::string("claims_") + (scoped ? "scoped_" : "unscoped_")
                  + std::string(toName(answer.action)) + "_total");
}

void RoutingClaimGate::onMessage(const peer::wire::Envelope &envelope)
{
    if (envelope.has_claim_request()) {
        const peer::ClaimCall call = peer::toClaimCall(envelope, m_clock.now());
        for (const peer::ClaimResponse &response : m_service.handle(call))
            deliver(response);
    }
    if (envelope.has_claim_reply())
        deliver(peer::toClaimResponse(envelope.claim_reply(), m_identity.vm));
}

void RoutingClaimGate::setTransport(peer::PeerTransport *transport)
{
    const std::lock_guard lock(m_peersMutex);
    m_transport = transport;
}

void RoutingClaimGate::onPeers(const std::shared_ptr<const policy::PeerView> &peers)
{
    {
        const std::lock_guard lock(m_peersMutex);
        if (m_peers == peers)
            return;
        m_peers = peers;
    }
    const std::vector<std::string> localCandidates = candidates(m_identity.failureDomain);
    const bool joined = !peers->local().leaving && !peers->fenced;
    m_service.setOwner(joined && !localCandidates.empty()
                       && localCandidates.front() == m_identity.vm);
}

void RoutingClaimGate::onConfiguration(const config::Configuration &configuration)
{
    if (m_configuredGeneration == configuration.generation)
        return;
    m_configuredGeneration = configuration.generation;
    peer::ClaimKinds kinds;
    for (const config::WorkKind &kind : configuration.workKinds) {
        if (!kind.idempotent)
            kinds[kind.name]
                    = {kind.storeOutage == config::StoreOutageMode::InMemory, kind.claimRetention};
    }
    m_service.setKinds(kinds);
    const auto scopes = static_cast<std::int64_t>(configuration.failureDomains.size());
    m_service.setBatchInterval(std::max<core::Duration>(
            minBatchInterval, std::chrono::milliseconds(1000 * scopes / maxAppendsPerSecond)));
}

bool RoutingClaimGate::isIdle()
{
    if (!m_service.hasResigned())
        return false;
    const std::lock_guard lock(m_clientMutex);
    return m_client.openClaims() == 0;
}

void RoutingClaimGate::poll()
{
    std::vector<peer::ClaimMessage> messages;
    {
        const std::lock_guard lock(m_clientMutex);
        messages = m_client.advance(m_clock.now());
    }
    m_answerArrived.notify_all();
    send(messages);
}

void RoutingClaimGate::send(const std::vector<peer::ClaimMessage> &messages)
{
    for (const peer::ClaimMessage &message : messages) {
        if (message.vm == m_identity.vm) {
            for (const peer::ClaimResponse &response : m_service.handle(message.call))
                deliver(response);
            continue;
        }
        const std::lock_guard lock(m_peersMutex);
        if (m_transport != nullptr)
            m_transport->send(message.vm, peer::toEnvelope(message.call, m_clock.now()));
    }
}

void RoutingClaimGate::deliver(const peer::ClaimResponse &response)
{
    if (response.id.vm != m_identity.vm) {
        const std::lock_guard lock(m_peersMutex);
        if (m_transport != nullptr)
            m_transport->send(response.id.vm, peer::toEnvelope(response));
        return;
    }
    {
        const std::lock_guard lock(m_clientMutex);
        m_client.onResponse(response, m_clock.now());
    }
    m_answerArrived.notify_all();
}

std::vector<std::string> RoutingClaimGate::candidates(const std::string &failureDomain) const
{
    const std::shared_ptr<const policy::PeerView> view = peers();
    if (!view)
        return {};
    return peer::claimCandidates(*view, failureDomain);
}

std::shared_ptr<const policy::PeerView> RoutingClaimGate::peers() const
{
    const std::lock_guard lock(m_peersMutex);
    return m_peers;
}

} // namespace sardinehollow::daemon
