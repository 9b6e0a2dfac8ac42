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

core::Duration shareOfLatencyTarget(const config::Configuration &configuration, std::size_t rank,
                                    double share)
{
    // A rank that was removed from the configuration has no target; its remaining requests run
    // without one.
    if (rank >= configuration.ranks.size())
        return core::Duration::max();
    const core::Duration target = configuration.ranks[rank].latencyTarget;
    return std::chrono::duration_cast<core::Duration>(target * share);
}

bool didNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::ConnectFailed;
}

} // namespace

PoolShard::PoolShard(std::string pool, const PolicySettings &settings, QuarantineList &quarantine)
    : m_pool(std::move(pool))
    , m_settings(settings)
    , m_quarantine(quarantine)
    , m_lease(settings.ownershipLease, settings.ownershipHoldOff)
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
    updateWorkKinds();
    static const config::BackendPool emptyPool;
    const config::BackendPool *found = configuration->pool(m_pool);
    const config::BackendPool &pool = found == nullptr ? emptyPool : *found;
    const SlotOwners owners(*peers);
    m_servers.update(*configuration, pool, owners, *peers);
    m_peerSlots.clearOwners();
    std::map<const Peer *, std::uint32_t> sameDomain;
    std::map<const Peer *, std::uint32_t> otherDomains;
    for (const config::BackendServer &server : pool.backendServers) {
        const Peer *owner = owners.owner(server);
        const ServerSlots &slots = *m_servers.find(server.name);
        const bool drained = slots.isDrained() || slots.isLeaving();
        if (owner == nullptr || owner->vm == peers->local().vm || drained)
            continue;
        const bool isSameDomain = owner->failureDomain == peers->local().failureDomain;
        (isSameDomain ? sameDomain : otherDomains)[owner] += server.slots;
    }
    // Other failure domains are used only if the local one has no usable server for the pool.
    const bool hasSameDomainServers = !sameDomain.empty() || m_servers.hasCandidate({}, m_now);
    for (const auto &[owner, slots] : hasSameDomainServers ? sameDomain : otherDomains)
        m_peerSlots.addOwner(*owner, slots);
}

void PoolShard::updateWorkKinds()
{
    const std::size_t rankCount = m_configuration->ranks.size();
    std::vector<RankScheduler::Rank> &ranks = m_scheduler.ranks();
    // Ranks removed from the configuration keep their index, as requests of them may remain.
    ranks.resize(std::max(ranks.size(), rankCount));
    while (m_queues.size() < rankCount)
        m_queues.emplace_back(m_settings);
    m_waitingRetries.resize(std::max(m_waitingRetries.size(), rankCount));
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        ranks[rank].floorShare = m_configuration->ranks[rank].floorShare;
        ranks[rank].latencyTarget = m_configuration->ranks[rank].latencyTarget;
        m_queues[rank].setDelayTarget(
                shareOfLatencyTarget(*m_configuration, rank, m_settings.overloadDelayFraction));
    }
    std::map<std::string, std::shared_ptr<WorkKindState>> kinds;
    for (const config::WorkKind &kind : m_configuration->workKinds) {
        if (kind.pool != m_pool)
            continue;
        std::shared_ptr<WorkKindState> &state = kinds[kind.name];
        const auto known = m_kinds.find(kind.name);
        const std::size_t rank = m_configuration->rankIndex(kind.rank);
        // If the rank of a kind changed, its existing requests keep the state with the old rank.
        if (known != m_kinds.end() && known->second->rank == rank)
            state = known->second;
        else
            state = std::make_shared<WorkKindState>(
                    WorkKindState {kind,
                                   rank,
                                   RetryTokenBucket(m_settings.retryTokensPerRequest,
                                                    m_settings.retryTokenCapacity),
                                   {},
                                   0});
        state->kind = kind;
    }
    m_kinds = std::move(kinds);
}

Decision PoolShard::offer(const RequestOffer &request)
{
    const std::lock_guard lock(m_mutex);
    advanceClock(request.arrival);
    const auto kind = m_kinds.find(request.workKind);
    if (kind == m_kinds.end()) {
        Decision unknown = makeDecision(request.id, DecisionKind::Refuse);
        unknown.reason = RefusalReason::UnknownWorkKind;
        return unknown;
    }
    assert(m_requests.count(request.id) == 0);
    kind->second->retryBudget.onRequest();
    if (const std::optional<Decision> refusal = refuseOnArrival(request, *kind->second))
        return *refusal;
    PendingRequest pending;
    pending.offer = request;
    pending.kind = kind->second;
    const Decision decision = startOrEnqueue(pending);
    if (decision.kind != DecisionKind::Refuse)
        m_requests.emplace(request.id, std::move(pending));
    return decision;
}

std::vector<Decision> PoolShard::complete(const AttemptReport &report)
{
    const std::lock_guard lock(m_mutex);
    advanceClock(report.now);
    std::vector<Decision> decisions;
    const auto found = m_requests.find(report.id);
    if (found == m_requests.end())
        return decisions;
    PendingRequest &request = found->second;
    const bool late = report.attempt != 0 && report.attempt != request.attempts;
    if (late || request.phase == RequestPhase::Queued) {
        ++m_lateCompletions;
        return decisions;
    }
    const bool wasForwarded = request.phase == RequestPhase::Forwarded;
    // A peer that had no slot stays eligible: it may be the only owner, and its next summary may
    // announce a free slot. If the peer attempted a server, another attempt there is a retry, which
    // needs the retry budget.
    if (wasForwarded && report.refusedByPeer)
        request.tried.erase(request.attemptTarget);
    recordOutcome(request, report);
    release(request, !didNotRun(report.outcome));
    decisions.push_back(decideAfterAttempt(request, report, wasForwarded));
    if (decisions.front().kind == DecisionKind::Finish)
        m_requests.erase(found);
    startQueued(decisions);
    return decisions;
}

std::vector<Decision> PoolShard::cancel(const core::RequestId &id)
{
    const std::lock_guard lock(m_mutex);
    m_mustRefresh = true;
    advanceClock(m_now);
    std::vector<Decision> decisions;
    std::erase_if(m_evictionRefusals,
                  [&id](const Decision &decision) { return decision.id == id; });
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
    m_lease.renew(now);
    m_mustRefresh = true;
    advanceClock(now);
    std::vector<Decision> decisions = std::move(m_evictionRefusals);
    m_evictionRefusals.clear();
    refuseExpired(decisions);
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
    advanceClock(now);
    m_peerSlots.onSummary(summary, now);
    for (const auto &[name, server] : m_servers.servers()) {
        const auto found = summary.inFlightElsewhere.find(name);
        server->setInFlightElsewhere(summary.vm,
                                     found == summary.inFlightElsewhere.end() ? 0 : found->second);
        if (summary.released.count(name) != 0)
            server->onOwnershipReleased(summary.vm, now);
    }
}

PoolSummary PoolShard::summary(core::Instant now)
{
    const std::lock_guard lock(m_mutex);
    advanceClock(now);
    PoolSummary summary;
    summary.vm = m_peers->local().vm;
    summary.pool = m_pool;
    for (std::size_t rank = 0; rank < m_queues.size(); ++rank)
        summary.ranks.push_back(rankSummary(rank));
    for (const auto &[name, server] : m_servers.servers()) {
        if (!server->isOwned() && server->wasRecentlyReleased(now))
            summary.released.insert(name);
        if (!server->isOwned() && server->inFlight() > 0)
            summary.inFlightElsewhere[name] = server->inFlight();
    }
    return summary;
}

PoolSummary::Rank PoolShard::rankSummary(std::size_t rank) const
{
    PoolSummary::Rank summary;
    if (!m_lease.admits(m_now) || m_scheduler.slots() == 0) {
        summary.wait = core::Duration::max();
        return summary;
    }
    const std::uint32_t queued = m_scheduler.ranks()[rank].queued;
    summary.wait = m_scheduler.estimatedWait(rank, queued);
    if (queued == 0 && m_scheduler.mayStart(rank, m_servers.startableSlots(m_now))) {
        const double free = m_servers.freeSlots(m_now) - m_scheduler.reservedSlots(rank);
        summary.freeSlots = static_cast<std::uint32_t>(std::max(0.0, free));
    }
    return summary;
}

PoolStatus PoolShard::status(core::Instant now)
{
    const std::lock_guard lock(m_mutex);
    advanceClock(now);
    PoolStatus status;
    status.pool = m_pool;
    status.admitting = m_lease.admits(now);
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

void PoolShard::advanceClock(core::Instant now)
{
    // Events of different threads may arrive slightly out of order.
    m_now = std::max(m_now, now);
    m_lease.ensureStarted(m_now);
    // Server states and rank accounting change on a scale of milliseconds, while most events are
    // closer together.
    if (!m_mustRefresh && m_now - m_refreshedAt < refreshInterval)
        return;
    m_refreshedAt = m_now;
    m_mustRefresh = false;
    m_servers.advance(m_now);
    m_scheduler.setSlots(m_servers.usableSlots(m_now));
    m_scheduler.advance(m_now);
}

std::optional<Decision> PoolShard::refuseOnArrival(const RequestOffer &request,
                                                   const WorkKindState &kind)
{
    Decision refusal = makeDecision(request.id, DecisionKind::Refuse);
    if (request.deadline <= m_now)
        refusal.reason = RefusalReason::DeadlinePassed;
    else if (m_quarantine.contains(request.fingerprint, m_now))
        refusal.reason = RefusalReason::Quarantined;
    else if (request.deadline - m_now < minimumRemainingTime(kind))
        refusal.reason = RefusalReason::DeadlineTooShort;
    else if (!m_servers.hasCandidate({}, m_now) && (request.forwarded || !m_peerSlots.hasOwners()))
        refusal.reason
                = request.forwarded ? RefusalReason::NotOwner : RefusalReason::NoLiveBackendServer;
    else
        return std::nullopt;
    refusal.retryAfter = retryAfter(kind.rank);
    return refusal;
}

Decision PoolShard::startOrEnqueue(PendingRequest &request)
{
    const std::size_t rank = request.kind->rank;
    request.entry.id = request.offer.id;
    std::optional<Decision> decision;
    if (m_queues[rank].isEmpty() && !m_scheduler.owesSlotToOtherRank(rank))
        decision = dispatch(request);
    if (!decision)
        decision = forward(request, estimatedLocalWait(rank, m_queues[rank].size() + 1));
    return decision ? *decision : enqueue(request);
}

std::optional<Decision> PoolShard::start(PendingRequest &request)
{
    if (std::optional<Decision> decision = dispatch(request))
        return decision;
    // The request is at the head of its queue, so it waits for a single slot.
    return forward(request, estimatedLocalWait(request.kind->rank, 1));
}

core::Duration PoolShard::estimatedLocalWait(std::size_t rank, std::size_t waiting) const
{
    if (!m_lease.admits(m_now) || m_scheduler.slots() == 0)
        return core::Duration::max();
    return m_scheduler.estimatedWait(rank, waiting);
}

std::optional<Decision> PoolShard::dispatch(PendingRequest &request)
{
    const std::uint32_t free = m_servers.startableSlots(m_now);
    if (!m_lease.admits(m_now) || !m_scheduler.mayStart(request.kind->rank, free))
        return std::nullopt;
    ServerSlots *server = m_servers.chooseLeastUsed(request.tried, m_now);
    if (server == nullptr)
        return std::nullopt;
    server->acquire();
    ++m_scheduler.ranks()[request.kind->rank].inFlight;
    request.phase = RequestPhase::Running;
    request.attemptTarget = server->server().name;
    request.tried.insert(request.attemptTarget);
    Decision decision = makeDecision(request.offer.id, DecisionKind::Dispatch);
    decision.backendServer = request.attemptTarget;
    decision.address = server->server().address;
    decision.attempt = ++request.attempts;
    return decision;
}

std::optional<Decision> PoolShard::forward(PendingRequest &request, core::Duration wait)
{
    if (request.offer.forwarded)
        return std::nullopt;
    const std::size_t rank = request.kind->rank;
    const Peer *peer = m_peerSlots.chooseFree(request.entry, rank, request.tried, m_now);
    if (peer == nullptr)
        peer = m_peerSlots.chooseShorterWait(rank, wait, request.tried, m_now);
    if (peer == nullptr)
        return std::nullopt;
    m_peerSlots.onForwarded(peer->vm, rank, request.kind->serviceTime.mean(), m_now);
    ++m_forwardCount;
    request.phase = RequestPhase::Forwarded;
    request.attemptTarget = peer->vm;
    request.tried.insert(peer->vm);
    Decision decision = makeDecision(request.offer.id, DecisionKind::Forward);
    decision.peer = peer->vm;
    decision.address = peer->forwardAddress;
    decision.attempt = ++request.attempts;
    return decision;
}

Decision PoolShard::enqueue(PendingRequest &request)
{
    WorkKindState &kind = *request.kind;
    RankQueue &queue = m_queues[kind.rank];
    request.entry.id = request.offer.id;
    request.entry.caller = request.offer.callerHash;
    request.entry.arrival = m_now;
    request.entry.latestStart = request.offer.deadline - minimumRemainingTime(kind);
    if (request.offer.forwarded)
        request.entry.latestStart
                = std::min(request.entry.latestStart, m_now + maximumForwardedWait(request));
    const core::Duration wait = m_scheduler.estimatedWait(kind.rank, queue.size());
    const core::Duration longestWait
            = shareOfLatencyTarget(*m_configuration, kind.rank, m_settings.maxWaitFraction);
    const bool tooLate = m_now + wait > request.entry.latestStart || wait > longestWait;
    const bool refusedEarly = m_settings.refuseEarly && tooLate;
    if (refusedEarly || admitsAt() > request.entry.latestStart)
        return refuse(request, queuedRefusalReason(request));
    if (kind.queued >= kind.kind.queueLimit && !evictFromLargestCaller(request))
        return refuse(request, RefusalReason::QueueFull);
    queue.push(request.entry);
    ++kind.queued;
    ++m_scheduler.ranks()[kind.rank].queued;
    request.phase = RequestPhase::Queued;
    return makeDecision(request.offer.id, DecisionKind::Hold);
}

bool PoolShard::evictFromLargestCaller(const PendingRequest &request)
{
    RankQueue &queue = m_queues[request.kind->rank];
    if (queue.isEmpty())
        return false;
    const QueueEntry victim = queue.lastOfLargestCaller();
    const bool improvesFairness
            = queue.callerSize(victim.caller) > queue.callerSize(request.entry.caller) + 1;
    const auto found = m_requests.find(victim.id);
    if (!improvesFairness || found->second.kind != request.kind)
        return false;
    dequeue(found->second);
    m_evictionRefusals.push_back(refuse(found->second, RefusalReason::QueueFull));
    m_requests.erase(found);
    return true;
}

void PoolShard::dequeue(PendingRequest &request)
{
    const std::size_t rank = request.kind->rank;
    --m_scheduler.ranks()[rank].queued;
    if (request.attempts > 0 && std::erase(m_waitingRetries[rank], request.offer.id) > 0)
        return;
    m_queues[rank].remove(request.entry);
    --request.kind->queued;
}

std::optional<Decision> PoolShard::startRetry(std::size_t rank)
{
    for (const core::RequestId &id : m_waitingRetries[rank]) {
        PendingRequest &request = m_requests.at(id);
        std::optional<Decision> decision = start(request);
        if (!decision)
            continue;
        --m_scheduler.ranks()[rank].queued;
        std::erase(m_waitingRetries[rank], core::RequestId(id));
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
    PendingRequest &request = found->second;
    const bool tooLate = entry.latestStart < m_now;
    if (tooLate || queue.shouldShed(entry, m_now)) {
        const Decision decision = refuse(request, queuedRefusalReason(request));
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
        for (const std::size_t rank : m_scheduler.servingOrder()) {
            std::optional<Decision> decision = startNext(rank);
            if (!decision)
                continue;
            decisions.push_back(std::move(*decision));
            started = true;
            break;
        }
    }
}

void PoolShard::refuseExpired(std::vector<Decision> &decisions)
{
    for (RankQueue &queue : m_queues) {
        for (const QueueEntry &entry : queue.removeExpired(m_now)) {
            const auto found = m_requests.find(entry.id);
            PendingRequest &request = found->second;
            --request.kind->queued;
            --m_scheduler.ranks()[request.kind->rank].queued;
            decisions.push_back(refuse(request, queuedRefusalReason(request)));
            m_requests.erase(found);
        }
    }
    for (std::vector<core::RequestId> &retries : m_waitingRetries) {
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

void PoolShard::release(PendingRequest &request, bool hadSlot)
{
    if (request.phase == RequestPhase::Forwarded) {
        m_peerSlots.onFinished(request.attemptTarget, request.kind->rank, hadSlot);
    } else {
        --m_scheduler.ranks()[request.kind->rank].inFlight;
        if (ServerSlots *server = m_servers.find(request.attemptTarget))
            server->release();
    }
    request.phase = RequestPhase::Queued;
    request.attemptTarget.clear();
}

void PoolShard::recordOutcome(const PendingRequest &request, const AttemptReport &report)
{
    if (request.phase == RequestPhase::Forwarded) {
        if (didNotRun(report.outcome))
            m_peerSlots.onRejected(request.attemptTarget, request.kind->rank, m_now);
        return;
    }
    ServerSlots *server = m_servers.find(request.attemptTarget);
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
        m_quarantine.onConnectionLost(fingerprint, request.attemptTarget, m_now);
        server->health().onFailure();
        break;
    case AttemptOutcome::ConnectFailed:
        server->onConnectFailed(m_now);
        break;
    case AttemptOutcome::TimedOut:
        server->health().onFailure();
        break;
    }
    m_servers.avoidIfOutlier(*server, m_now);
    if (before != std::pair(server->state(m_now), server->limit(m_now)))
        m_scheduler.setSlots(m_servers.usableSlots(m_now));
}

Decision PoolShard::decideAfterAttempt(PendingRequest &request, const AttemptReport &report,
                                       bool wasForwarded)
{
    request.mayHaveRun = request.mayHaveRun || !didNotRun(report.outcome);
    Decision finished = makeDecision(report.id, DecisionKind::Finish);
    finished.mayHaveRun = request.mayHaveRun;
    if (report.outcome == AttemptOutcome::Completed || !isRetryable(request, report))
        return finished;
    finished.retryAfter = retryAfter(request.kind->rank);
    if (wasForwarded && didNotRun(report.outcome)) {
        finished.reason = RefusalReason::NoCapacity;
        return reroute(request).value_or(finished);
    }
    finished.reason = RefusalReason::BackendUnreachable;
    const bool hasAlternative = m_servers.hasCandidate(request.tried, m_now)
            || m_peerSlots.hasUntriedOwner(request.tried);
    if (!hasAlternative)
        return finished;
    finished.reason = RefusalReason::RetryBudget;
    if (!request.kind->retryBudget.tryConsume())
        return finished;
    ++m_retryCount;
    return retry(request).value_or(finished);
}

std::optional<Decision> PoolShard::reroute(PendingRequest &request)
{
    // The request has not run yet, so this does not count as a retry; a second rejection is final.
    if (request.rerouted)
        return std::nullopt;
    request.rerouted = true;
    const Decision decision = startOrEnqueue(request);
    if (decision.kind == DecisionKind::Refuse)
        return std::nullopt;
    return decision;
}

std::optional<Decision> PoolShard::retry(PendingRequest &request)
{
    if (std::optional<Decision> decision = start(request))
        return decision;
    // A queued request may later be refused as not-run, so one that may have run is not queued.
    if (request.mayHaveRun)
        return std::nullopt;
    const std::size_t rank = request.kind->rank;
    request.entry.id = request.offer.id;
    request.entry.latestStart = request.offer.deadline - minimumRemainingTime(*request.kind);
    m_waitingRetries[rank].push_back(request.offer.id);
    ++m_scheduler.ranks()[rank].queued;
    return makeDecision(request.offer.id, DecisionKind::Hold);
}

bool PoolShard::isRetryable(const PendingRequest &request, const AttemptReport &report) const
{
    // Only the daemon that accepted the request retries; retries at several layers would multiply
    // the load during a failure.
    if (request.offer.forwarded || report.responseStarted)
        return false;
    if (request.offer.deadline - m_now <= minimumRemainingTime(*request.kind))
        return false;
    if (m_quarantine.contains(request.offer.fingerprint, m_now))
        return false;
    if (didNotRun(report.outcome))
        return true;
    const bool broken = report.outcome == AttemptOutcome::ConnectionLost
            || report.outcome == AttemptOutcome::Truncated
            || report.outcome == AttemptOutcome::TimedOut;
    return broken && request.kind->kind.idempotent;
}

Decision PoolShard::refuse(const PendingRequest &request, RefusalReason reason) const
{
    Decision decision = makeDecision(request.offer.id, DecisionKind::Refuse);
    decision.reason = reason;
    decision.mayHaveRun = request.mayHaveRun;
    decision.retryAfter = retryAfter(request.kind->rank);
    return decision;
}

RefusalReason PoolShard::queuedRefusalReason(const PendingRequest &request) const
{
    const bool isOwner = m_servers.hasCandidate({}, m_now);
    if (isOwner && (!m_lease.admits(m_now) || m_servers.admitsAt() > m_now))
        return RefusalReason::OwnershipHoldOff;
    if (request.offer.forwarded)
        return RefusalReason::NoCapacity;
    if (request.offer.deadline <= m_now)
        return RefusalReason::DeadlinePassed;
    return RefusalReason::QueueFull;
}

core::Duration PoolShard::retryAfter(std::size_t rank) const
{
    core::Duration wait = m_scheduler.estimatedWait(rank, m_scheduler.ranks()[rank].queued + 1);
    if (admitsAt() > m_now)
        wait = std::max(wait, admitsAt() - m_now);
    return std::clamp(wait, minimumRetryAfter, maximumRetryAfter);
}

core::Instant PoolShard::admitsAt() const
{
    const core::Instant servers = m_servers.admitsAt();
    // Without owned servers only peers admit requests, and each applies its own hold-off.
    if (servers == core::Instant::max())
        return m_lease.admitsAt();
    return std::max(m_lease.admitsAt(), servers);
}

core::Duration PoolShard::maximumForwardedWait(const PendingRequest &request) const
{
    // Leaves half of the remaining time for the forwarding daemon to find another slot.
    return std::max(m_settings.minForwardedWait, (request.offer.deadline - m_now) / 2);
}

core::Duration PoolShard::minimumRemainingTime(const WorkKindState &kind) const
{
    return kind.serviceTime.mean();
}

} // namespace sardinehollow::policy
