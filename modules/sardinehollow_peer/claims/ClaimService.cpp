#include "sardinehollow_peer/claims/ClaimService.h"

#include <algorithm>

namespace sardinehollow::peer {

namespace {

using policy::RefusalReason;
using Result = ClaimVerdict::Result;
using Kind = JournalRequest::Kind;
using State = ClaimEntry::State;

ClaimResponse respond(const ClaimCall &call, Result result,
                      RefusalReason reason = RefusalReason::None)
{
    return {call.id, call.operation, {result, reason, 0, {}, true}};
}

ClaimResponse respond(const ClaimId &id, Result result, RefusalReason reason = RefusalReason::None)
{
    return {id, ClaimOperation::Begin, {result, reason, 0, {}, true}};
}

ClaimOperation operationOf(const wire::ClaimRecord &record)
{
    switch (record.kind()) {
    case wire::ClaimRecord::KIND_FINISH:
        return ClaimOperation::Finish;
    case wire::ClaimRecord::KIND_RELEASE:
        return ClaimOperation::Release;
    default:
        return ClaimOperation::Begin;
    }
}

} // namespace

ClaimService::ClaimService(ClaimServiceSettings settings)
    : m_settings(std::move(settings))
{ }

void ClaimService::setOwner(bool owner)
{
    m_owner = owner;
}

void ClaimService::setKinds(const ClaimKinds &kinds)
{
    m_kinds = kinds;
}

void ClaimService::setBatchInterval(core::Duration interval)
{
    m_settings.batchInterval = interval;
}

void ClaimService::setWallClock(std::chrono::seconds now)
{
    m_wallSeconds = now.count();
}

std::string ClaimService::scope() const
{
    if (!m_serving || !m_owner)
        return {};
    return ScopedKey {m_settings.failureDomain, m_epochs.current()}.scope();
}

ClaimService::Responses ClaimService::handle(const ClaimCall &call, core::Instant now)
{
    const std::optional<ScopedKey> scoped = ScopedKey::parse(call.key);
    if (!scoped || scoped->failureDomain != m_settings.failureDomain)
        return {respond(call, Result::Refuse, RefusalReason::KeyInvalid)};
    // While the store is unavailable no other daemon can take over, so the daemon that owned the
    // scope keeps granting claims.
    const bool handingOver = !m_owner && !m_storeDown && call.operation == ClaimOperation::Begin;
    // A key of a later epoch shows that another daemon has taken over the scope.
    if (!m_serving || handingOver || scoped->epoch > m_epochs.current())
        return {respond(call, Result::Refuse, RefusalReason::NotOwner)};
    switch (call.operation) {
    case ClaimOperation::Begin:
        return begin(call, *scoped, now);
    case ClaimOperation::Finish:
        return finish(call, *scoped);
    case ClaimOperation::Release:
        return release(call);
    }
    return {};
}

ClaimService::Responses ClaimService::begin(const ClaimCall &call, const ScopedKey &scoped,
                                            core::Instant now)
{
    const std::string claim = call.id.text();
    // The claim was released or its begin call timed out; another claim may hold the key by now.
    if (m_released.count(claim) != 0)
        return {{call.id,
                 call.operation,
                 {Result::Refuse, RefusalReason::DeadlinePassed, 0, {}, false}}};
    if (const ClaimEntry *entry = m_table.find(call.workKind, call.key)) {
        // The begin call was resent; it is answered when the append has completed.
        if (entry->state == State::Pending && entry->claim == claim)
            return {};
        return {{call.id, call.operation, verdictFor(call, *entry, now)}};
    }
    const wire::ClaimEpoch *epoch = epochOf(scoped.epoch);
    if (epoch == nullptr || !hasCompleteHistory(*epoch, call.workKind))
        return {respond(call, Result::Unknown, RefusalReason::ClaimUnaccounted)};
    // From here on the request is known not to have run, and a refusal may say so.
    const bool ended = epoch->closed_at_seconds() != 0
            && epoch->closed_at_seconds() + m_settings.scopeGracePeriod.count() < m_wallSeconds;
    if (ended)
        return {refuseUnclaimed(call.id, RefusalReason::KeyInvalid, now)};
    if (m_table.bytes() >= m_settings.memoryBytes)
        return {refuseUnclaimed(call.id, RefusalReason::NoCapacity, now)};
    const bool inMemory = m_storeDown && grantsInMemory(scoped.epoch, call.workKind);
    if (m_storeDown && !inMemory)
        return {refuseUnclaimed(call.id, RefusalReason::ClaimStoreUnavailable, now)};
    ClaimEntry entry;
    entry.state = inMemory ? State::Begun : State::Pending;
    entry.claim = claim;
    entry.contentDigest = call.contentDigest;
    entry.epoch = scoped.epoch;
    entry.deadline = call.deadline;
    m_table.add(call.workKind, call.key, std::move(entry));
    enqueue(call, wire::ClaimRecord::KIND_BEGIN, !inMemory,
            std::min<core::Instant>(call.deadline, now + m_settings.commitTimeout));
    if (inMemory)
        return {respond(call, Result::Proceed)};
    return {};
}

ClaimVerdict ClaimService::verdictFor(const ClaimCall &call, const ClaimEntry &entry,
                                      core::Instant now) const
{
    if (entry.contentDigest != call.contentDigest)
        return {Result::Refuse, RefusalReason::KeyReused, 0, {}, true};
    if (entry.state == State::Finished && entry.status == 0)
        return {Result::Unknown, RefusalReason::AnswerTruncated, 0, {}, true};
    if (entry.state == State::Finished)
        return {Result::Replay, RefusalReason::None, entry.status, entry.body, true};
    if (entry.claim == call.id.text())
        return {Result::Proceed, RefusalReason::None, 0, {}, true};
    // A request that is past its deadline has ended without reporting its result.
    const RefusalReason reason
            = entry.deadline > now ? RefusalReason::KeyInProgress : RefusalReason::ClaimUnaccounted;
    return {Result::Unknown, reason, 0, {}, true};
}

ClaimService::Responses ClaimService::finish(const ClaimCall &call, const ScopedKey &scoped)
{
    ClaimEntry *entry = m_table.find(call.workKind, call.key);
    if (entry == nullptr) {
        // A former owner granted the claim in memory only; the finish call shows that the request
        // ran.
        if (epochOf(scoped.epoch) == nullptr)
            return {respond(call, Result::Proceed)};
        ClaimEntry added;
        added.claim = call.id.text();
        added.contentDigest = call.contentDigest;
        added.epoch = scoped.epoch;
        entry = &m_table.add(call.workKind, call.key, std::move(added));
    }
    const bool isSameClaim = entry->claim == call.id.text();
    // A resent finish call is acknowledged only when its record is in the journal.
    if (isSameClaim && entry->state == State::Finished && !entry->recorded)
        return {};
    if (entry->state == State::Finished)
        return {respond(call, Result::Proceed)};
    // The finish call shows that this claim's request ran. If the journal holds another claim on
    // the key, that one cannot have run: a former owner lost its release before writing it to the
    // journal.
    entry->claim = call.id.text();
    entry->contentDigest = call.contentDigest;
    m_table.finish(*entry, call.status, call.body);
    enqueue(call, wire::ClaimRecord::KIND_FINISH, true, core::Instant::max());
    return {};
}

ClaimService::Responses ClaimService::release(const ClaimCall &call)
{
    const std::string claim = call.id.text();
    rememberReleased(claim);
    stopAwaiting(claim);
    const ClaimEntry *entry = m_table.find(call.workKind, call.key);
    const bool isUnfinished
            = entry != nullptr && entry->claim == claim && entry->state != State::Finished;
    if (!isUnfinished)
        return {respond(call, Result::Proceed)};
    m_table.erase(call.workKind, call.key);
    enqueue(call, wire::ClaimRecord::KIND_RELEASE, true, core::Instant::max());
    return {};
}

bool ClaimService::hasCompleteHistory(const wire::ClaimEpoch &epoch,
                                      const std::string &workKind) const
{
    if (m_continuousEpochs.count(epoch.number()) != 0)
        return true;
    if (epoch.number() <= m_unreadableUpTo)
        return false;
    const auto &kinds = epoch.in_memory_kinds();
    return std::find(kinds.begin(), kinds.end(), workKind) == kinds.end();
}

bool ClaimService::grantsInMemory(std::uint64_t number, const std::string &workKind) const
{
    // The epoch record must list the work kind, or a later owner would conclude from the missing
    // claim that the request did not run.
    const wire::ClaimEpoch *epoch = epochOf(number);
    if (epoch == nullptr || m_continuousEpochs.count(number) == 0)
        return false;
    const auto &kinds = epoch->in_memory_kinds();
    return std::find(kinds.begin(), kinds.end(), workKind) != kinds.end();
}

bool ClaimService::holdsLease(core::Instant now) const
{
    return now < m_leaseStart + m_settings.leaseDuration;
}

ClaimResponse ClaimService::refuseUnclaimed(const ClaimId &id, RefusalReason reason,
                                            core::Instant now) const
{
    // Without a valid lease, another owner may have granted the key and its request may have run.
    ClaimResponse response = respond(id, Result::Refuse, reason);
    response.verdict.confirmed = holdsLease(now);
    return response;
}

const wire::ClaimEpoch *ClaimService::epochOf(std::uint64_t number) const
{
    for (const wire::ClaimEpoch &epoch : m_epochs.epochs()) {
        if (epoch.number() == number)
            return &epoch;
    }
    return nullptr;
}

void ClaimService::enqueue(const ClaimCall &call, wire::ClaimRecord::Kind kind, bool awaited,
                           core::Instant waitDeadline)
{
    QueuedRecord queued;
    queued.record.set_kind(kind);
    queued.record.set_work_kind(call.workKind);
    queued.record.set_key(call.key);
    queued.record.set_claim(call.id.text());
    queued.record.set_content_digest(call.contentDigest);
    queued.record.set_status(call.status);
    queued.record.set_body(call.body);
    queued.id = call.id;
    queued.awaited = awaited;
    queued.waitDeadline = waitDeadline;
    m_queue.push_back(std::move(queued));
}

void ClaimService::enqueueRelease(const wire::ClaimRecord &begun)
{
    QueuedRecord queued;
    queued.record = begun;
    queued.record.set_kind(wire::ClaimRecord::KIND_RELEASE);
    m_queue.push_back(std::move(queued));
}

void ClaimService::rememberReleased(const std::string &claim)
{
    if (!m_released.insert(claim).second)
        return;
    m_releasedOrder.push_back(claim);
    if (m_releasedOrder.size() <= m_settings.releasedLimit)
        return;
    m_released.erase(m_releasedOrder.front());
    m_releasedOrder.pop_front();
}

void ClaimService::stopAwaiting(const std::string &claim)
{
    for (std::deque<QueuedRecord> *records : {&m_batch, &m_queue}) {
        for (QueuedRecord &queued : *records) {
            const bool begins = queued.record.kind() == wire::ClaimRecord::KIND_BEGIN;
            if (begins && queued.record.claim() == claim)
                queued.awaited = false;
        }
    }
}

ClaimService::Responses ClaimService::advance(core::Instant now)
{
    Responses responses;
    refuseTimedOut(m_batch, true, now, responses);
    refuseTimedOut(m_queue, false, now, responses);
    return responses;
}

void ClaimService::refuseTimedOut(std::deque<QueuedRecord> &records, bool maybeWritten,
                                  core::Instant now, Responses &responses)
{
    std::vector<wire::ClaimRecord> refused;
    for (QueuedRecord &queued : records) {
        const bool begins = queued.record.kind() == wire::ClaimRecord::KIND_BEGIN;
        if (!begins || !queued.awaited || queued.waitDeadline > now)
            continue;
        queued.awaited = false;
        responses.push_back(refuseUnclaimed(queued.id, RefusalReason::ClaimStoreUnavailable, now));
        m_table.erase(queued.record.work_kind(), queued.record.key());
        rememberReleased(queued.record.claim());
        refused.push_back(queued.record);
    }
    if (maybeWritten) {
        for (const wire::ClaimRecord &record : refused)
            enqueueRelease(record);
        return;
    }
    for (const wire::ClaimRecord &record : refused) {
        const auto isRefused = [&record](const QueuedRecord &queued) {
            return queued.record.kind() == wire::ClaimRecord::KIND_BEGIN
                    && queued.record.claim() == record.claim();
        };
        records.erase(std::remove_if(records.begin(), records.end(), isRefused), records.end());
    }
}

std::optional<JournalRequest> ClaimService::nextRequest(core::Instant now)
{
    if (m_requestInFlight)
        return std::nullopt;
    std::optional<JournalRequest> request;
    const bool backingOff = now < m_nextAttempt;
    if (backingOff)
        return std::nullopt;
    if (!m_serving || m_leaseExpired || needsNewEpoch(now))
        request = acquireRequest(now);
    if (!request && m_serving && now >= m_lastRenewal + m_settings.renewInterval) {
        m_lastRenewal = now;
        request.emplace();
        request->kind = Kind::Renew;
        request->lease = m_leaseId;
    }
    if (!request && m_serving)
        request = appendRequest(now);
    const bool idle = m_queue.empty() && m_batch.empty();
    if (!request && m_serving && !m_owner && idle) {
        request.emplace();
        request->kind = Kind::Resign;
        request->lease = m_leaseId;
    }
    if (!request && m_serving && m_epochs.dropped_size() != 0) {
        request.emplace();
        request->kind = Kind::DropEpoch;
        request->epoch = m_epochs.dropped(0);
    }
    m_requestInFlight = request;
    m_requestStart = now;
    return request;
}

std::optional<JournalRequest> ClaimService::acquireRequest(core::Instant now)
{
    // A batch is tied to the revision of the epoch record, so its result must be known before the
    // next epoch is taken.
    if (!m_batch.empty() || (!m_serving && !m_owner))
        return std::nullopt;
    JournalRequest request;
    if (!m_epochsToLoad.empty()) {
        request.kind = Kind::LoadEpoch;
        request.epoch = m_epochsToLoad.front();
        return request;
    }
    if (m_readEpochs) {
        request = takeEpochRequest();
        m_attemptedEpochs.insert(request.epoch);
        return request;
    }
    m_lastRenewal = now;
    request.kind = Kind::ReadEpochs;
    return request;
}

JournalRequest ClaimService::takeEpochRequest() const
{
    JournalRequest request;
    request.kind = Kind::TakeEpoch;
    request.epochs = nextEpochs();
    request.epoch = request.epochs.current();
    request.epochRevision = m_readEpochs->epochRevision;
    request.holderRevision = m_readEpochs->holderRevision;
    return request;
}

wire::ClaimEpochs ClaimService::nextEpochs() const
{
    wire::ClaimEpochs next;
    next.set_current(m_readEpochs->epochs.current() + 1);
    next.set_holder(m_settings.holder);
    // The stored record still lists epochs whose journals this owner has deleted since it wrote the
    // record.
    *next.mutable_dropped() = m_serving ? m_epochs.dropped() : m_readEpochs->epochs.dropped();
    bool keep = false;
    for (wire::ClaimEpoch epoch : m_readEpochs->epochs.epochs()) {
        if (epoch.closed_at_seconds() == 0)
            epoch.set_closed_at_seconds(std::max<std::int64_t>(m_wallSeconds, 1));
        const std::int64_t end = epoch.closed_at_seconds() + m_settings.scopeGracePeriod.count()
                + epoch.retention_seconds();
        // Epochs are dropped oldest first only: the journal of a later epoch may contain claims on
        // keys of earlier ones.
        keep = keep || end >= m_wallSeconds;
        if (keep)
            *next.add_epochs() = epoch;
        else
            next.add_dropped(epoch.number());
    }
    wire::ClaimEpoch *current = next.add_epochs();
    current->set_number(next.current());
    current->set_retention_seconds(longestRetention());
    for (const std::string &kind : inMemoryKinds())
        current->add_in_memory_kinds(kind);
    return next;
}

std::vector<std::string> ClaimService::inMemoryKinds() const
{
    std::vector<std::string> names;
    for (const auto &[name, rules] : m_kinds) {
        if (rules.inMemory)
            names.push_back(name);
    }
    return names;
}

std::int64_t ClaimService::longestRetention() const
{
    std::chrono::seconds longest {0};
    for (const auto &[name, rules] : m_kinds)
        longest = std::max(longest, rules.retention);
    return longest.count();
}

bool ClaimService::needsNewEpoch(core::Instant now) const
{
    if (!m_serving || !m_owner)
        return false;
    if (m_readEpochs || m_epochBytes >= m_settings.epochBytes)
        return true;
    if (now >= m_epochStart + m_settings.epochAge)
        return true;
    const wire::ClaimEpoch *current = epochOf(m_epochs.current());
    const std::vector<std::string> kinds = inMemoryKinds();
    return current->retention_seconds() < longestRetention()
            || !std::equal(kinds.begin(), kinds.end(), current->in_memory_kinds().begin(),
                           current->in_memory_kinds().end());
}

std::optional<JournalRequest> ClaimService::appendRequest(core::Instant now)
{
    if (m_batch.empty()) {
        if (m_queue.empty() || now < m_lastAppend + m_settings.batchInterval)
            return std::nullopt;
        wire::ClaimBatch batch;
        std::size_t bytes = 0;
        while (!m_queue.empty()) {
            bytes += m_queue.front().record.ByteSizeLong() + 8;
            if (!m_batch.empty() && bytes > m_settings.batchBytes)
                break;
            *batch.add_records() = m_queue.front().record;
            m_batch.push_back(std::move(m_queue.front()));
            m_queue.pop_front();
        }
        m_batchText = batch.SerializeAsString();
    }
    m_lastAppend = now;
    JournalRequest request;
    request.kind = Kind::Append;
    request.epochRevision = m_epochRevision;
    request.epoch = m_epochs.current();
    request.sequence = m_sequence;
    request.batch = m_batchText;
    return request;
}

ClaimService::Responses ClaimService::onJournalResult(const JournalResult &result,
                                                      core::Instant now)
{
    Responses responses;
    const JournalRequest request = *m_requestInFlight;
    m_requestInFlight.reset();
    if (result.status == JournalResult::Status::Failed) {
        onFailure(now, responses);
        return responses;
    }
    m_storeDown = false;
    m_retryDelay = core::Duration(0);
    m_nextAttempt = core::Instant(0);
    const bool conflict = result.status == JournalResult::Status::Conflict;
    switch (request.kind) {
    case Kind::ReadEpochs:
        onEpochsRead(result, now, responses);
        break;
    case Kind::TakeEpoch:
        if (conflict)
            m_readEpochs.reset();
        else
            onEpochTaken(request, result, now);
        break;
    case Kind::LoadEpoch:
        onEpochLoaded(result);
        break;
    case Kind::Append:
        if (conflict)
            loseOwnership(responses);
        else
            onAppended(responses);
        break;
    case Kind::DropEpoch:
        m_epochs.mutable_dropped()->erase(m_epochs.dropped().begin());
        break;
    case Kind::Renew:
        m_leaseExpired = conflict;
        // A TakeEpoch request of unknown result may have bound the holder record to another lease.
        if (!conflict && m_attemptedEpochs.empty())
            m_leaseStart = m_requestStart;
        break;
    case Kind::Resign:
        loseOwnership(responses);
        break;
    }
    return responses;
}

void ClaimService::onEpochsRead(const JournalResult &result, core::Instant now,
                                Responses &responses)
{
    const std::uint64_t current = result.epochs.current();
    const bool isOwnEpoch = result.epochs.holder() == m_settings.holder
            && (current == m_epochs.current() || m_attemptedEpochs.count(current) != 0);
    if (m_serving && !isOwnEpoch)
        loseOwnership(responses);
    const bool hasOtherHolder = !result.holder.empty() && result.holder != m_settings.holder;
    if (hasOtherHolder || !m_owner) {
        m_nextAttempt = now + m_settings.firstRetryDelay;
        return;
    }
    m_readEpochs = result;
}

void ClaimService::onEpochTaken(const JournalRequest &request, const JournalResult &result,
                                core::Instant now)
{
    const wire::ClaimEpochs &taken = request.epochs;
    const bool wasServing = m_serving;
    m_epochs = taken;
    m_epochRevision = result.epochRevision;
    m_leaseId = result.lease;
    m_leaseExpired = false;
    m_readEpochs.reset();
    m_attemptedEpochs.clear();
    m_sequence = 0;
    m_epochBytes = 0;
    m_epochStart = now;
    m_leaseStart = m_requestStart;
    m_lastRenewal = now;
    m_continuousEpochs.insert(taken.current());
    for (const std::uint64_t dropped : taken.dropped()) {
        m_table.eraseEpoch(dropped);
        m_continuousEpochs.erase(dropped);
    }
    if (wasServing)
        return;
    m_table.clear();
    for (const wire::ClaimEpoch &epoch : taken.epochs()) {
        if (epoch.number() != taken.current())
            m_epochsToLoad.push_back(epoch.number());
    }
    m_serving = m_epochsToLoad.empty();
}

void ClaimService::onEpochLoaded(const JournalResult &result)
{
    for (const std::string &text : result.batches) {
        wire::ClaimBatch batch;
        if (!batch.ParseFromString(text)) {
            // The batch may contain claims on keys of its own epoch and of every earlier one.
            m_unreadableUpTo = std::max(m_unreadableUpTo, m_epochsToLoad.front());
            continue;
        }
        for (const wire::ClaimRecord &record : batch.records())
            m_table.apply(record);
    }
    m_epochsToLoad.pop_front();
    m_serving = m_epochsToLoad.empty();
}

void ClaimService::onAppended(Responses &responses)
{
    for (const QueuedRecord &queued : m_batch) {
        const bool begins = queued.record.kind() == wire::ClaimRecord::KIND_BEGIN;
        ClaimEntry *entry = m_table.find(queued.record.work_kind(), queued.record.key());
        const bool pending = entry != nullptr && entry->claim == queued.record.claim()
                && entry->state == State::Pending;
        if (begins && pending)
            entry->state = State::Begun;
        const bool finishes = queued.record.kind() == wire::ClaimRecord::KIND_FINISH;
        if (finishes && entry != nullptr && entry->claim == queued.record.claim())
            entry->recorded = true;
        if (queued.awaited)
            responses.push_back(
                    {queued.id, operationOf(queued.record), {Result::Proceed, {}, 0, {}, true}});
    }
    m_epochBytes += m_batchText.size();
    m_batch.clear();
    m_batchText.clear();
    ++m_sequence;
}

void ClaimService::onFailure(core::Instant now, Responses &responses)
{
    m_storeDown = true;
    m_retryDelay = std::clamp(2 * m_retryDelay, m_settings.firstRetryDelay,
                              m_settings.longestRetryDelay);
    m_nextAttempt = now + m_retryDelay;
    // The epoch record may have changed since it was read.
    m_readEpochs.reset();
    grantAwaitedInMemory(m_batch, responses);
    grantAwaitedInMemory(m_queue, responses);
}

void ClaimService::grantAwaitedInMemory(std::deque<QueuedRecord> &records, Responses &responses)
{
    for (QueuedRecord &queued : records) {
        const bool begins = queued.record.kind() == wire::ClaimRecord::KIND_BEGIN;
        ClaimEntry *entry = m_table.find(queued.record.work_kind(), queued.record.key());
        if (!begins || !queued.awaited || entry == nullptr)
            continue;
        if (!grantsInMemory(entry->epoch, queued.record.work_kind()))
            continue;
        queued.awaited = false;
        entry->state = State::Begun;
        responses.push_back(respond(queued.id, Result::Proceed));
    }
}

void ClaimService::loseOwnership(Responses &responses)
{
    for (const std::deque<QueuedRecord> *records : {&m_batch, &m_queue}) {
        for (const QueuedRecord &queued : *records) {
            if (queued.awaited)
                responses.push_back({queued.id,
                                     operationOf(queued.record),
                                     {Result::Refuse, RefusalReason::NotOwner, 0, {}, true}});
        }
    }
    m_batch.clear();
    m_batchText.clear();
    m_queue.clear();
    m_table.clear();
    m_continuousEpochs.clear();
    m_attemptedEpochs.clear();
    m_epochsToLoad.clear();
    m_epochs.Clear();
    m_readEpochs.reset();
    m_leaseExpired = false;
    m_serving = false;
}

} // namespace sardinehollow::peer
