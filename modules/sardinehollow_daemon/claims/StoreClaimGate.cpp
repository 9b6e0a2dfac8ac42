#include "sardinehollow_daemon/claims/StoreClaimGate.h"

#include "sardinehollow_core/hash/Sha256.h"
#include "sardinehollow_core/hash/StableHash.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <array>
#include <cstdio>
#include <sstream>

namespace sardinehollow::daemon {

namespace {

using entry::ClaimAction;
using entry::ClaimAnswer;
using policy::RefusalReason;

constexpr platform::CallPurpose callPurpose = platform::CallPurpose::Claim;
constexpr const char *begunState = "begun";
constexpr const char *finishedState = "finished";
constexpr std::uint64_t sweepPartitionCount = 256;
// etcd's default limit is 128 operations per transaction; each delete also has a condition.
constexpr std::size_t deletesPerTransaction = 50;
constexpr std::size_t maxPendingUpdates = 10000;
constexpr std::chrono::minutes updateRetryPeriod {10};
// The outcome is stored after the caller has its response, so a caller that retries at once can
// arrive before it. Storing it takes two store calls, a few milliseconds.
constexpr std::array<core::Duration, 2> outcomeRetryDelays {std::chrono::milliseconds(20),
                                                            std::chrono::milliseconds(80)};
// Creating the record is retried if the claim that owned the key is released between two calls.
constexpr int maxCreationAttempts = 3;
// Longest delay of a write after its call has timed out; several times the store's time-out.
constexpr std::chrono::seconds maxWriteDelay {5};

std::string recordText(const std::string &contentDigest, const std::string &claim,
                       const std::string &state, int status, const std::string &body,
                       std::int64_t expiryTime)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("content", contentDigest);
    object.set("claim", claim);
    object.set("state", state);
    object.set("status", status);
    object.set("body", body);
    object.set("expires", expiryTime);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Poco::JSON::Object::Ptr parseRecord(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &) {
        return {};
    }
}

std::string field(const Poco::JSON::Object::Ptr &record, const std::string &name)
{
    return record.isNull() ? std::string() : record->optValue<std::string>(name, "");
}

} // namespace

StoreClaimGate::StoreClaimGate(platform::KeyValueStore &store, const core::MonotonicClock &clock,
                               WallClock wallClock, Sleep sleep, const std::string &deployment,
                               std::string owner)
    : m_store(store)
    , m_clock(clock)
    , m_wallClock(std::move(wallClock))
    , m_sleep(std::move(sleep))
    , m_prefix("sardinehollow/" + deployment + "/claims/unscoped/")
    , m_owner(std::move(owner))
    , m_nextSweepPartition(core::stableHash(m_owner))
{ }

ClaimAnswer StoreClaimGate::begin(const entry::ClaimRequest &request)
{
    const std::string key = recordKey(request);
    std::uint64_t claimNumber = 0;
    {
        const std::lock_guard lock(m_mutex);
        claimNumber = ++m_lastClaimNumber;
    }
    const std::string text = recordText(request.contentDigest, claimText(claimNumber), begunState,
                                        0, "", expiryTime(request.retention));
    for (int attempt = 0; attempt < maxCreationAttempts; ++attempt) {
        const core::Result<platform::TransactionResult> created
                = m_store.transact(callPurpose, {{key, 0}}, {{key, text, 0}});
        if (created && created->succeeded)
            return {ClaimAction::Proceed, RefusalReason::None, 0, {}, claimNumber};
        if (!created && created.error().kind != core::ErrorKind::ResultUnknown)
            break;
        const std::optional<ClaimAnswer> answer
                = readRecord(request, key, claimNumber, created.has_value());
        if (answer)
            return *answer;
        // The claim that owned the key has been released meanwhile.
    }
    return {ClaimAction::Refuse, RefusalReason::ClaimStoreUnavailable, 0, {}, claimNumber};
}

std::optional<ClaimAnswer> StoreClaimGate::readRecord(const entry::ClaimRequest &request,
                                                      const std::string &key,
                                                      std::uint64_t claimNumber,
                                                      bool claimedByOther)
{
    const ClaimAnswer inProgress {
            ClaimAction::Unknown, RefusalReason::KeyInProgress, 0, {}, claimNumber};
    for (std::size_t reads = 0;; ++reads) {
        const core::Result<platform::RangeResult> found = m_store.range(callPurpose, key, false);
        if (!found && reads > 0)
            return inProgress;
        if (!found && claimedByOther)
            return ClaimAnswer {
                    ClaimAction::Unknown, RefusalReason::ClaimUnaccounted, 0, {}, claimNumber};
        if (found && found->keyValues.empty() && claimedByOther)
            return std::nullopt;
        if (!found || found->keyValues.empty())
            return refuseAndDelete(key, claimNumber);
        const std::optional<ClaimAnswer> answer
                = answerFromRecord(found->keyValues.front().value, request, claimNumber);
        if (answer)
            return answer;
        const bool mayRetry = reads < outcomeRetryDelays.size()
                && m_clock.now() + outcomeRetryDelays[reads] < request.deadline;
        if (!mayRetry)
            return inProgress;
        m_sleep(outcomeRetryDelays[reads]);
    }
}

std::optional<ClaimAnswer> StoreClaimGate::answerFromRecord(const std::string &text,
                                                            const entry::ClaimRequest &request,
                                                            std::uint64_t claimNumber) const
{
    const Poco::JSON::Object::Ptr record = parseRecord(text);
    const std::string state = field(record, "state");
    if (field(record, "claim") == claimText(claimNumber))
        return ClaimAnswer {ClaimAction::Proceed, RefusalReason::None, 0, {}, claimNumber};
    const bool readable = state == begunState || state == finishedState;
    if (!readable)
        return ClaimAnswer {
                ClaimAction::Unknown, RefusalReason::ClaimUnaccounted, 0, {}, claimNumber};
    if (field(record, "content") != request.contentDigest)
        return ClaimAnswer {ClaimAction::Refuse, RefusalReason::KeyReused, 0, {}, claimNumber};
    if (state == begunState)
        return std::nullopt;
    const int status = record->optValue<int>("status", 0);
    if (status == 0)
        return ClaimAnswer {
                ClaimAction::Unknown, RefusalReason::AnswerTruncated, 0, {}, claimNumber};
    return ClaimAnswer {ClaimAction::Replay, RefusalReason::None, status, field(record, "body"),
                        claimNumber};
}

ClaimAnswer StoreClaimGate::refuseAndDelete(const std::string &key, std::uint64_t claimNumber)
{
    // The record may exist or may still be written. Unless it is deleted, a retry would be answered
    // as unknown although nothing ran.
    const core::Instant now = m_clock.now();
    enqueue({key, claimText(claimNumber), std::nullopt, now + updateRetryPeriod,
             now + maxWriteDelay});
    return {ClaimAction::Refuse, RefusalReason::ClaimStoreUnavailable, 0, {}, claimNumber};
}

void StoreClaimGate::finish(const entry::ClaimRequest &request, int status, const std::string &body)
{
    const std::string claim = claimText(request.claimNumber);
    PendingUpdate finished {recordKey(request),
                            claim,
                            recordText(request.contentDigest, claim, finishedState, status, body,
                                       expiryTime(request.retention)),
                            m_clock.now() + updateRetryPeriod,
                            {}};
    // Until the update is stored, a retry is answered as unknown, which is correct.
    if (apply(finished) == ApplyResult::Failed)
        enqueue(std::move(finished));
}

void StoreClaimGate::release(const entry::ClaimRequest &request)
{
    PendingUpdate released {recordKey(request),
                            claimText(request.claimNumber),
                            std::nullopt,
                            m_clock.now() + updateRetryPeriod,
                            {}};
    if (apply(released) == ApplyResult::Failed)
        enqueue(std::move(released));
}

StoreClaimGate::ApplyResult StoreClaimGate::apply(const PendingUpdate &update)
{
    const core::Result<platform::RangeResult> found = m_store.range(callPurpose, update.key, false);
    if (!found)
        return ApplyResult::Failed;
    if (found->keyValues.empty())
        return ApplyResult::Absent;
    const platform::KeyValue &item = found->keyValues.front();
    const Poco::JSON::Object::Ptr record = parseRecord(item.value);
    const bool isOpen
            = field(record, "claim") == update.claim && field(record, "state") == begunState;
    // Another claim owns the key by now, or an earlier attempt of this update took effect.
    if (!isOpen)
        return ApplyResult::Done;
    const core::Result<platform::TransactionResult> written = m_store.transact(
            callPurpose, {{update.key, item.modRevision}}, {{update.key, update.text, 0}});
    // After a lost reply or a concurrent change, the next attempt reads the record again.
    return written && written->succeeded ? ApplyResult::Done : ApplyResult::Failed;
}

void StoreClaimGate::enqueue(PendingUpdate update)
{
    const std::lock_guard lock(m_mutex);
    if (m_pendingUpdates.size() < maxPendingUpdates)
        m_pendingUpdates.push_back(std::move(update));
}

void StoreClaimGate::retryPendingUpdates()
{
    std::deque<PendingUpdate> updates;
    {
        const std::lock_guard lock(m_mutex);
        updates.swap(m_pendingUpdates);
    }
    bool reachable = true;
    const core::Instant now = m_clock.now();
    for (PendingUpdate &update : updates) {
        const ApplyResult result = reachable ? apply(update) : ApplyResult::Failed;
        reachable = result != ApplyResult::Failed;
        const bool mayStillAppear = result == ApplyResult::Absent && update.recheckUntil > now;
        const bool mayRetryLater = result == ApplyResult::Failed && update.retryUntil > now;
        if (mayStillAppear || mayRetryLater)
            enqueue(std::move(update));
    }
}

std::size_t StoreClaimGate::pendingUpdateCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_pendingUpdates.size();
}

void StoreClaimGate::sweep()
{
    std::array<char, 3> partition {};
    std::snprintf(partition.data(), partition.size(), "%02x",
                  static_cast<unsigned int>(m_nextSweepPartition++ % sweepPartitionCount));
    const core::Result<platform::RangeResult> found
            = m_store.range(callPurpose, m_prefix + partition.data(), true);
    if (!found)
        return;
    std::vector<platform::Compare> conditions;
    std::vector<platform::Write> deletes;
    for (const platform::KeyValue &item : found->keyValues) {
        const Poco::JSON::Object::Ptr record = parseRecord(item.value);
        const bool expired = !record.isNull() && record->has("expires")
                && record->optValue<std::int64_t>("expires", 0) < m_wallClock().count();
        if (!expired || deletes.size() == deletesPerTransaction)
            continue;
        conditions.push_back({item.key, item.modRevision});
        deletes.push_back({item.key, std::nullopt, 0});
    }
    // If one of the records has changed, the whole transaction fails; a later sweep retries it.
    if (!deletes.empty())
        (void)m_store.transact(callPurpose, conditions, deletes);
}

std::int64_t StoreClaimGate::expiryTime(std::chrono::seconds retention) const
{
    return (m_wallClock() + retention).count();
}

std::string StoreClaimGate::claimText(std::uint64_t claimNumber) const
{
    return m_owner + "/" + std::to_string(claimNumber);
}

std::string StoreClaimGate::recordKey(const entry::ClaimRequest &request) const
{
    return m_prefix + core::sha256Hex(request.workKind + "\n" + request.key);
}

} // namespace sardinehollow::daemon
