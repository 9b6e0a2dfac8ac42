#include "sardinehollow_policy/pool/PoolShard.h"

#include <algorithm>
#include <cassert>

namespace sardinehollow::policy {

namespace {

constexpr core::Duration minimumRetryAfter = std::chrono::milliseconds(100);
constexpr core::Duration maximumRetryAfter = std::chrono::seconds(60);
constexpr core::Duration refreshInterval = std::chrono::milliseconds(1);

Decision makeDecision(const core::RequestId &id, DecisionKind kind)
{
    Decision decision;
    decision.id = id;
    decision.kind = kind;
    return decision;
}

core::Duration shareOfTarget(const config::Configuration &configuration, std::size_t rank,
                             double share)
{
    // A rank that left the configuration has no target; its requests end without one.
    if (rank >= configuration.ranks.size())
        return core::Duration::max();
    const core::Duration target = configuration.ranks[rank].latencyTarget;
    return std::chrono::duration_cast<core::Duration>(target * share);
}

bool leftNoTrace(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::ConnectFailed;
}

} // namespace

PoolShard::PoolShard(std::string pool, const PolicySettings &settings, QuarantineList &quarantine)
    : m_pool(std::move(pool))
    , m_settings(settings)
    , m_quarantine(quarantine)
    , m_fence(settings.ownershipLease, settings.ownershipHoldOff)
    , m_servers(settings)
    , m_peerSlots(settings)
    , m_scheduler(settings.urgentHeadroom)
{ }

void PoolShard::update(const std::shared_ptr<const config::Configuration> &configuration,
                       const std::shared_ptr<const PeerView> &peers)
{
    const std::lock_guard lock(m_mutex);
    m_mustRefresh = true;
    m_configuration = configuration;
    m_peers = peers;
    updateKinds();
    static const config::BackendPool noPool;
    const config::BackendPool *found = configuration->pool(m_pool);
    const config::BackendPool &pool = found == nullptr ? noPool : *found;
    const SlotOwners owners(*peers);
    m_servers.update(*configuration, pool, owners, *peers);
    m_peerSlots.clearOwners();
    std::map<const Peer *, std::uint32_t> near;
    std::map<const Peer *, std::uint32_t> far;
    for (const config::BackendServer &server : pool.backendServers) {
        const Peer *owner = owners.owner(server);
        const ServerSlots &slots = *m_servers.find(server.name);
        const bool drained = slots.isDrained() || slots.isLeaving();
        if (owner == nullptr || owner->vm == peers->local().vm || drained)
            continue;
        const bool isNear = owner->failureDomain == peers->local().failureDomain;
        (isNear ? near : far)[owner] += server.slots;
    }
    // Other failure domains only serve what the own one has no server for.
    const bool hasNear = !near.empty() || m_servers.hasCandidate({}, m_now);
    for (const auto &[owner, slots] : hasNear ? near : far)
        m_peerSlots.addOwner(*owner, slots);
}

void PoolShard::updateKinds()
{
    const std::size_t rankCount = m_configuration->ranks.size();
    std::vector<RankScheduler::Rank> &ranks = m_scheduler.ranks();
    // Ranks that left the configuration keep their place until their requests have ended.
    ranks.resize(std::max(ranks.size(), rankCount));
    while (m_queues.size() < rankCount)
        m_queues.emplace_back(m_settings);
    m_retries.resize(std::max(m_retries.size(), rankCount));
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        ranks[rank].floorShare = m_configuration->ranks[rank].floorShare;
        ranks[rank].latencyTarget = m_configuration->ranks[rank].latencyTarget;
        m_queues[rank].setDelayTarget(
                shareOfTarget(*m_configuration, rank, m_settings.delayPerTarget));
    }
    std::map<std::string, std::shared_ptr<KindState>> kinds;
    for (const config::WorkKind &kind : m_configuration->workKinds) {
        if (kind.pool != m_pool)
            continue;
        std::shared_ptr<KindState> &state = kinds[kind.name];
        const auto known = m_kinds.find(kind.name);
        const std::size_t rank = m_configuration->rankIndex(kind.rank);
        // Requests of a kind that changed its rank end under the old one.
        if (known != m_kinds.end() && known->second->rank == rank)
            state = known->second;
        else
            state = std::make_shared<KindState>(KindState {
                    kind, rank, RetryBudget(m_settings.retryShare, m_settings.retryBurst), {}, 0});
        state->kind = kind;
    }
    m_kinds = std::move(kinds);
}

Decision PoolShard::offer(const RequestOffer &request)
{
    const std::lock_guard lock(m_mutex);
    observe(request.arrival);
    const auto kind = m_kinds.find(request.workKind);
    if (kind == m_kinds.end()) {
        Decision unknown = makeDecision(request.id, DecisionKind::Refuse);
        unknown.reason = RefusalReason::UnknownWorkKind;
        return unknown;
    }
    assert(m_requests.count(request.id) == 0);
    kind->second->retries.onRequest();
    if (const std::optional<Decision> refusal = refuseAtOnce(request, *kind->second))
        return *refusal;
    QueuedRequest queued;
    queued.offer = request;
    queued.kind = kind->second;
    const Decision decision = startOrEnqueue(queued);
    if (decision.kind != DecisionKind::Refuse)
        m_requests.emplace(request.id, std::move(queued));
    return decision;
}

std::vector<Decision> PoolShard::complete(const AttemptReport &report)
{
    const std::lock_guard lock(m_mutex);
    observe(report.now);
    std::vector<Decision> decisions;
    const auto found = m_requests.find(report.id);
    if (found == m_requests.end())
        return decisions;
    QueuedRequest &request = found->second;
    const bool late = report.attempt != 0 && report.attempt != request.attempts;
    if (late || request.phase == RequestPhase::Queued) {
        ++m_lateCompletions;
        return decisions;
    }
    const bool wasForwarded = request.phase == RequestPhase::Forwarded;
    // A peer that had no slot may have one later, and may be the only owner; its next summary
    // tells. After an attempt at a server this would be a retry, which has a budget.
    if (wasForwarded && report.refusedByPeer)
        request.tried.erase(request.holder);
    learn(request, report);
    release(request, !leftNoTrace(report.outcome));
    decisions.push_back(afterAttempt(request, report, wasForwarded));
    if (decisions.front().kind == DecisionKind::Finish)
        m_requests.erase(found);
    startQueued(decisions);
    return decisions;
}

std::vector<Decision> PoolShard::cancel(const core::RequestId &id)
{
    const std::lock_guard lock(m_mutex);
    m_mustRefresh = true;
    observe(m_now);
    std::vector<Decision> decisions;
    std::erase_if(m_evicted, [&id](const Decision &decision) { return decision.id == id; });
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return decisions;
    if (found->second.phase == RequestPhase::Queued)
        dequeue(found->second);
    else
        release(found->second, true);
    m_requests.erase(found);
    startQueued(decisions);
    return decisions;
}

std::vector<Decision> PoolShard::advance(core::Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_fence.renew(now);
    m_mustRefresh = true;
    observe(now);
    std::vector<Decision> decisions = std::move(m_evicted);
    m_evicted.clear();
    dropExpired(decisions);
    startQueued(decisions);
    return decisions;
}

void PoolShard::onBackendReport(const BackendReport &report)
{
    const std::lock_guard lock(m_mutex);
    ServerSlots *server = m_servers.find(report.backendServer);
    if (server != nullptr)
        server->onReport(report);
    m_mustRefresh = true;
}

void PoolShard::onSummary(const PoolSummary &summary, core::Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_mustRefresh = true;
    observe(now);
    m_peerSlots.onSummary(summary, now);
    for (const auto &[name, server] : m_servers.servers()) {
        const auto found = summary.inFlightElsewhere.find(name);
        server->setInFlightAt(summary.vm,
                              found == summary.inFlightElsewhere.end() ? 0 : found->second);
        if (summary.released.count(name) != 0)
            server->onReleased(summary.vm, now);
    }
}

PoolSummary PoolShard::summary(core::Instant now)
{
    const std::lock_guard lock(m_mutex);
    observe(now);
    PoolSummary summary;
    summary.vm = m_peers->local().vm;
    summary.pool = m_pool;
    for (std::size_t rank = 0; rank < m_queues.size(); ++rank)
        summary.ranks.push_back(rankSummary(rank));
    for (const auto &[name, server] : m_servers.servers()) {
        if (!server->isOwned() && server->isReleased(now))
            summary.released.insert(name);
        if (!server->isOwned() && server->inFlight() > 0)
            summary.inFlightElsewhere[name] = server->inFlight();
    }
    return summary;
}

PoolSummary::Rank PoolShard::rankSummary(std::size_t rank) const
{
    PoolSummary::Rank summary;
    if (!m_fence.admits(m_now) || m_scheduler.slots() == 0) {
        summary.wait = core::Duration::max();
        return summary;
    }
    const std::uint32_t queued = m_scheduler.ranks()[rank].queued;
    summary.wait = m_scheduler.waitingTime(rank, queued);
    if (queued == 0 && m_scheduler.mayStart(rank, m_servers.startableSlots(m_now))) {
        const double free = m_servers.freeSlots(m_now) - m_scheduler.reserveAgainst(rank);
        summary.freeSlots = static_cast<std::uint32_t>(std::max(0.0, free));
    }
    return summary;
}

PoolStatus PoolShard::status(core::Instant now)
{
    const std::lock_guard lock(m_mutex);
    observe(now);
    PoolStatus status;
    status.pool = m_pool;
    status.admitting = m_fence.admits(now);
    for (std::size_t rank = 0; rank < m_configuration->ranks.size(); ++rank) {
        const RankScheduler::Rank &state = m_scheduler.ranks()[rank];
        status.ranks.push_back({m_configuration->ranks[rank].name, state.queued, state.inFlight,
                                m_scheduler.floorSlots(rank)});
    }
    for (const auto &[name, server] : m_servers.servers())
        status.servers.push_back(
                {name, server->state(now), server->inFlight(), server->limit(now)});
    status.lateCompletions = m_lateCompletions;
    status.retries = m_retryCount;
    status.forwards = m_forwardCount;
    return status;
}

void PoolShard::observe(core::Instant now)
{
    // Threads may report their events slightly out of order.
    m_now = std::max(m_now, now);
    m_fence.observe(m_now);
    // Server states and rank accounts change with time by milliseconds; most events are closer.
    if (!m_mustRefresh && m_now - m_refreshed < refreshInterval)
        return;
    m_refreshed = m_now;
    m_mustRefresh = false;
    m_servers.advance(m_now);
    m_scheduler.setSlots(m_servers.usableSlots(m_now));
    m_scheduler.advance(m_now);
}

std::optional<Decision> PoolShard::refuseAtOnce(const RequestOffer &request, const KindState &kind)
{
    Decision refusal = makeDecision(request.id, DecisionKind::Refuse);
    if (request.deadline <= m_now)
        refusal.reason = RefusalReason::DeadlinePassed;
    else if (m_quarantine.contains(request.fingerprint, m_now))
        refusal.reason = RefusalReason::Quarantined;
    else if (request.deadline - m_now < startBefore(kind))
        refusal.reason = RefusalReason::DeadlineTooShort;
    else if (!m_servers.hasCandidate({}, m_now) && (request.forwarded || !m_peerSlots.hasOwners()))
        refusal.reason
                = request.forwarded ? RefusalReason::NotOwner : RefusalReason::NoLiveBackendServer;
    else
        return std::nullopt;
    refusal.retryAfter = retryAfter(kind.rank);
    return refusal;
}

Decision PoolShard::startOrEnqueue(QueuedRequest &request)
{
    const std::size_t rank = request.kind->rank;
    request.entry.id = request.offer.id;
    std::optional<Decision> decision;
    if (m_queues[rank].isEmpty() && !m_scheduler.owesOthers(rank))
        decision = dispatch(request);
    if (!decision)
        decision = forward(request, localWait(rank, m_queues[rank].size() + 1));
    return decision ? *decision : enqueue(request);
}

std::optional<Decision> PoolShard::start(QueuedRequest &request)
{
    if (std::optional<Decision> decision = dispatch(request))
        return decision;
    // It is first in its queue, so it waits for one slot only.
    return forward(request, localWait(request.kind->rank, 1));
}

core::Duration PoolShard::localWait(std::size_t rank, std::size_t waiting) const
{
    if (!m_fence.admits(m_now) || m_scheduler.slots() == 0)
        return core::Duration::max();
    return m_scheduler.waitingTime(rank, waiting);
}

std::optional<Decision> PoolShard::dispatch(QueuedRequest &request)
{
    const std::uint32_t free = m_servers.startableSlots(m_now);
    if (!m_fence.admits(m_now) || !m_scheduler.mayStart(request.kind->rank, free))
        return std::nullopt;
    ServerSlots *server = m_servers.choose(request.tried, m_now);
    if (server == nullptr)
        return std::nullopt;
    server->take();
    ++m_scheduler.ranks()[request.kind->rank].inFlight;
    request.phase = RequestPhase::Running;
    request.holder = server->server().name;
    request.tried.insert(request.holder);
    Decision decision = makeDecision(request.offer.id, DecisionKind::Dispatch);
    decision.backendServer = request.holder;
    decision.address = server->server().address;
    decision.attempt = ++request.attempts;
    return decision;
}

std::optional<Decision> PoolShard::forward(QueuedRequest &request, core::Duration wait)
{
    if (request.offer.forwarded)
        return std::nullopt;
    const std::size_t rank = request.kind->rank;
    const Peer *peer = m_peerSlots.chooseFree(request.entry, rank, request.tried, m_now);
    if (peer == nullptr)
        peer = m_peerSlots.chooseShorterWait(rank, wait, request.tried, m_now);
    if (peer == nullptr)
        return std::nullopt;
    m_peerSlots.take(peer->vm, rank, request.kind->serviceTime.mean(), m_now);
    ++m_forwardCount;
    request.phase = RequestPhase::Forwarded;
    request.holder = peer->vm;
    request.tried.insert(peer->vm);
    Decision decision = makeDecision(request.offer.id, DecisionKind::Forward);
    decision.peer = peer->vm;
    decision.address = peer->forwardAddress;
    decision.attempt = ++request.attempts;
    return decision;
}

Decision PoolShard::enqueue(QueuedRequest &request)
{
    KindState &kind = *request.kind;
    RankQueue &queue = m_queues[kind.rank];
    request.entry.id = request.offer.id;
    request.entry.caller = request.offer.callerHash;
    request.entry.arrival = m_now;
    request.entry.latestStart = request.offer.deadline - startBefore(kind);
    if (request.offer.forwarded)
        request.entry.latestStart
                = std::min(request.entry.latestStart, m_now + forwardWait(request));
    const core::Duration wait = m_scheduler.waitingTime(kind.rank, queue.size());
    const core::Duration longestWait
            = shareOfTarget(*m_configuration, kind.rank, m_settings.waitPerTarget);
    const bool tooLate = m_now + wait > request.entry.latestStart || wait > longestWait;
    const bool refusedEarly = m_settings.refuseEarly && tooLate;
    if (refusedEarly || admitsAt() > request.entry.latestStart)
        return refuse(request, waitingReason(request));
    if (kind.queued >= kind.kind.queueLimit && !makeRoom(request))
        return refuse(request, RefusalReason::QueueFull);
    queue.push(request.entry);
    ++kind.queued;
    ++m_scheduler.ranks()[kind.rank].queued;
    request.phase = RequestPhase::Queued;
    return makeDecision(request.offer.id, DecisionKind::Hold);
}

bool PoolShard::makeRoom(const QueuedRequest &request)
{
    RankQueue &queue = m_queues[request.kind->rank];
    if (queue.isEmpty())
        return false;
    const QueueEntry victim = queue.newestOfLargestCaller();
    const bool fairer
            = queue.callerSize(victim.caller) > queue.callerSize(request.entry.caller) + 1;
    const auto found = m_requests.find(victim.id);
    if (!fairer || found->second.kind != request.kind)
        return false;
    dequeue(found->second);
    m_evicted.push_back(refuse(found->second, RefusalReason::QueueFull));
    m_requests.erase(found);
    return true;
}

void PoolShard::dequeue(QueuedRequest &request)
{
    const std::size_t rank = request.kind->rank;
    --m_scheduler.ranks()[rank].queued;
    if (request.attempts > 0 && std::erase(m_retries[rank], request.offer.id) > 0)
        return;
    m_queues[rank].remove(request.entry);
    --request.kind->queued;
}

std::optional<Decision> PoolShard::startRetry(std::size_t rank)
{
    for (const core::RequestId &id : m_retries[rank]) {
        QueuedRequest &request = m_requests.at(id);
        std::optional<Decision> decision = start(request);
        if (!decision)
            continue;
        --m_scheduler.ranks()[rank].queued;
        std::erase(m_retries[rank], core::RequestId(id));
        return decision;
    }
    return std::nullopt;
}

std::optional<Decision> PoolShard::startNext(std::size_t rank)
{
    if (std::optional<Decision> decision = startRetry(rank))
        return decision;
    RankQueue &queue = m_queues[rank];
    if (queue.isEmpty())
        return std::nullopt;
    const QueueEntry entry = queue.next(m_now);
    const auto found = m_requests.find(entry.id);
    QueuedRequest &request = found->second;
    const bool tooLate = entry.latestStart < m_now;
    if (tooLate || queue.sheds(entry, m_now)) {
        const Decision decision = refuse(request, waitingReason(request));
        dequeue(request);
        m_requests.erase(found);
        return decision;
    }
    std::optional<Decision> decision = start(request);
    if (!decision)
        return std::nullopt;
    queue.pop();
    --request.kind->queued;
    --m_scheduler.ranks()[rank].queued;
    return decision;
}

void PoolShard::startQueued(std::vector<Decision> &decisions)
{
    bool started = true;
    while (started) {
        started = false;
        for (const std::size_t rank : m_scheduler.order()) {
            std::optional<Decision> decision = startNext(rank);
            if (!decision)
                continue;
            decisions.push_back(std::move(*decision));
            started = true;
            break;
        }
    }
}

void PoolShard::dropExpired(std::vector<Decision> &decisions)
{
    for (RankQueue &queue : m_queues) {
        for (const QueueEntry &entry : queue.takeExpired(m_now)) {
            const auto found = m_requests.find(entry.id);
            QueuedRequest &request = found->second;
            --request.kind->queued;
            --m_scheduler.ranks()[request.kind->rank].queued;
            decisions.push_back(refuse(request, waitingReason(request)));
            m_requests.erase(found);
        }
    }
    for (std::vector<core::RequestId> &retries : m_retries) {
        const std::vector<core::RequestId> waiting = retries;
        for (const core::RequestId &id : waiting) {
            const auto found = m_requests.find(id);
            if (found->second.entry.latestStart > m_now)
                continue;
            dequeue(found->second);
            decisions.push_back(refuse(found->second, RefusalReason::DeadlinePassed));
            m_requests.erase(found);
        }
    }
}

void PoolShard::release(QueuedRequest &request, bool hadSlot)
{
    if (request.phase == RequestPhase::Forwarded) {
        m_peerSlots.onFinished(request.holder, request.kind->rank, hadSlot);
    } else {
        --m_scheduler.ranks()[request.kind->rank].inFlight;
        if (ServerSlots *server = m_servers.find(request.holder))
            server->release();
    }
    request.phase = RequestPhase::Queued;
    request.holder.clear();
}

void PoolShard::learn(const QueuedRequest &request, const AttemptReport &report)
{
    if (request.phase == RequestPhase::Forwarded) {
        if (leftNoTrace(report.outcome))
            m_peerSlots.onRejected(request.holder, request.kind->rank, m_now);
        return;
    }
    ServerSlots *server = m_servers.find(request.holder);
    if (server == nullptr)
        return;
    const auto before = std::pair(server->state(m_now), server->limit(m_now));
    const std::uint64_t fingerprint = request.offer.fingerprint;
    switch (report.outcome) {
    case AttemptOutcome::Completed: {
        const auto mean = static_cast<double>(request.kind->serviceTime.mean().count());
        const auto latency = static_cast<double>(report.latency.count());
        server->onSuccess(mean > 0.0 ? latency / mean : 1.0);
        request.kind->serviceTime.record(report.latency);
        RankScheduler::Rank &rank = m_scheduler.ranks()[request.kind->rank];
        rank.serviceTime = core::Duration(0);
        for (const auto &[name, kind] : m_kinds) {
            if (kind->rank == request.kind->rank)
                rank.serviceTime = std::max(rank.serviceTime, kind->serviceTime.mean());
        }
        m_quarantine.onCompleted(fingerprint);
        break;
    }
    case AttemptOutcome::NotRun:
        server->onShed();
        break;
    case AttemptOutcome::CallerLeft:
        break;
    case AttemptOutcome::ConnectionLost:
    case AttemptOutcome::Truncated:
        m_quarantine.onLost(fingerprint, request.holder, m_now);
        server->health().onFailure();
        break;
    case AttemptOutcome::ConnectFailed:
        server->onConnectFailed(m_now);
        break;
    case AttemptOutcome::TimedOut:
        server->health().onFailure();
        break;
    }
    m_servers.judge(*server, m_now);
    if (before != std::pair(server->state(m_now), server->limit(m_now)))
        m_scheduler.setSlots(m_servers.usableSlots(m_now));
}

Decision PoolShard::afterAttempt(QueuedRequest &request, const AttemptReport &report,
                                 bool wasForwarded)
{
    request.mayHaveRun = request.mayHaveRun || !leftNoTrace(report.outcome);
    Decision finished = makeDecision(report.id, DecisionKind::Finish);
    finished.mayHaveRun = request.mayHaveRun;
    if (report.outcome == AttemptOutcome::Completed || !isRetryable(request, report))
        return finished;
    finished.retryAfter = retryAfter(request.kind->rank);
    if (wasForwarded && leftNoTrace(report.outcome)) {
        finished.reason = RefusalReason::NoCapacity;
        return reroute(request).value_or(finished);
    }
    finished.reason = RefusalReason::BackendUnreachable;
    const bool hasOther
            = m_servers.hasCandidate(request.tried, m_now) || m_peerSlots.hasOther(request.tried);
    if (!hasOther)
        return finished;
    finished.reason = RefusalReason::RetryBudget;
    if (!request.kind->retries.take())
        return finished;
    ++m_retryCount;
    return retry(request).value_or(finished);
}

std::optional<Decision> PoolShard::reroute(QueuedRequest &request)
{
    // Nothing has run yet, so this is no retry; the second rejection is final.
    if (request.rerouted)
        return std::nullopt;
    request.rerouted = true;
    const Decision decision = startOrEnqueue(request);
    if (decision.kind == DecisionKind::Refuse)
        return std::nullopt;
    return decision;
}

std::optional<Decision> PoolShard::retry(QueuedRequest &request)
{
    if (std::optional<Decision> decision = start(request))
        return decision;
    // A request that waits may be refused as not-run later, so it must not have run.
    if (request.mayHaveRun)
        return std::nullopt;
    const std::size_t rank = request.kind->rank;
    request.entry.id = request.offer.id;
    request.entry.latestStart = request.offer.deadline - startBefore(*request.kind);
    m_retries[rank].push_back(request.offer.id);
    ++m_scheduler.ranks()[rank].queued;
    return makeDecision(request.offer.id, DecisionKind::Hold);
}

bool PoolShard::isRetryable(const QueuedRequest &request, const AttemptReport &report) const
{
    // The accepting daemon retries; a second layer would multiply the load of a failure.
    if (request.offer.forwarded || report.responseStarted)
        return false;
    if (request.offer.deadline - m_now <= startBefore(*request.kind))
        return false;
    if (m_quarantine.contains(request.offer.fingerprint, m_now))
        return false;
    if (leftNoTrace(report.outcome))
        return true;
    const bool broken = report.outcome == AttemptOutcome::ConnectionLost
            || report.outcome == AttemptOutcome::Truncated
            || report.outcome == AttemptOutcome::TimedOut;
    return broken && request.kind->kind.idempotent;
}

Decision PoolShard::refuse(const QueuedRequest &request, RefusalReason reason) const
{
    Decision decision = makeDecision(request.offer.id, DecisionKind::Refuse);
    decision.reason = reason;
    decision.mayHaveRun = request.mayHaveRun;
    decision.retryAfter = retryAfter(request.kind->rank);
    return decision;
}

RefusalReason PoolShard::waitingReason(const QueuedRequest &request) const
{
    const bool isOwner = m_servers.hasCandidate({}, m_now);
    if (isOwner && (!m_fence.admits(m_now) || m_servers.admitsAt() > m_now))
        return RefusalReason::OwnershipHoldOff;
    if (request.offer.forwarded)
        return RefusalReason::NoCapacity;
    if (request.offer.deadline <= m_now)
        return RefusalReason::DeadlinePassed;
    return RefusalReason::QueueFull;
}

core::Duration PoolShard::retryAfter(std::size_t rank) const
{
    core::Duration wait = m_scheduler.waitingTime(rank, m_scheduler.ranks()[rank].queued + 1);
    if (admitsAt() > m_now)
        wait = std::max(wait, admitsAt() - m_now);
    return std::clamp(wait, minimumRetryAfter, maximumRetryAfter);
}

core::Instant PoolShard::admitsAt() const
{
    const core::Instant servers = m_servers.admitsAt();
    // Without own servers only peers admit, and their hold-off is their own affair.
    if (servers == core::Instant::max())
        return m_fence.admitsAt();
    return std::max(m_fence.admitsAt(), servers);
}

core::Duration PoolShard::forwardWait(const QueuedRequest &request) const
{
    // Half of the remaining time is left for the forwarding daemon to find another slot.
    return std::max(m_settings.forwardWait, (request.offer.deadline - m_now) / 2);
}

core::Duration PoolShard::startBefore(const KindState &kind) const
{
    return kind.serviceTime.mean();
}

} // namespace sardinehollow::policy
