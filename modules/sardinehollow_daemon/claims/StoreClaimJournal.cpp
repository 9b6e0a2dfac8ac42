#include "sardinehollow_daemon/claims/StoreClaimJournal.h"

#include <array>
#include <cstdio>

namespace sardinehollow::daemon {

namespace {

using peer::JournalRequest;
using peer::JournalResult;
using platform::CallPurpose;
using Status = JournalResult::Status;

constexpr std::chrono::seconds holderLeaseDuration {3};
// etcd's default limit is 128 operations per transaction.
constexpr std::size_t deletesPerTransaction = 100;

std::string toFixedWidthHex(std::uint64_t number)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

JournalResult makeResult(Status status)
{
    JournalResult result;
    result.status = status;
    return result;
}

} // namespace

StoreClaimJournal::StoreClaimJournal(platform::KeyValueStore &store, const std::string &deployment,
                                     const std::string &failureDomain)
    : m_store(store)
    , m_ownerPrefix("sardinehollow/" + deployment + "/claims/scopes/" + failureDomain + "/")
    , m_epochKey(m_ownerPrefix + "epoch")
    , m_holderKey(m_ownerPrefix + "holder")
    , m_journalPrefix("sardinehollow/" + deployment + "/claims/journal/" + failureDomain + "/")
{ }

JournalResult StoreClaimJournal::call(const JournalRequest &request)
{
    switch (request.kind) {
    case JournalRequest::Kind::ReadEpochs:
        return readEpochs();
    case JournalRequest::Kind::TakeEpoch:
        return takeEpoch(request);
    case JournalRequest::Kind::LoadEpoch:
        return loadEpoch(request.epoch);
    case JournalRequest::Kind::Append:
        return append(request);
    case JournalRequest::Kind::DropEpoch:
        return dropEpoch(request.epoch);
    case JournalRequest::Kind::Renew:
        return renew(request.lease);
    case JournalRequest::Kind::Resign:
        return resign(request.lease);
    }
    return makeResult(Status::Failed);
}

JournalResult StoreClaimJournal::readEpochs()
{
    const core::Result<platform::RangeResult> found
            = m_store.range(CallPurpose::Epoch, m_ownerPrefix, true);
    if (!found)
        return makeResult(Status::Failed);
    JournalResult result = makeResult(Status::Done);
    for (const platform::KeyValue &item : found->keyValues) {
        if (item.key == m_epochKey) {
            // Without a readable record it is unknown which epochs have been used.
            if (!result.epochs.ParseFromString(item.value))
                return makeResult(Status::Failed);
            result.epochRevision = item.modRevision;
        }
        if (item.key == m_holderKey) {
            result.holder = item.value;
            result.holderRevision = item.modRevision;
        }
    }
    return result;
}

JournalResult StoreClaimJournal::takeEpoch(const JournalRequest &request)
{
    const core::Result<platform::Lease> lease
            = m_store.grantLease(CallPurpose::Epoch, holderLeaseDuration);
    if (!lease)
        return makeResult(Status::Failed);
    const std::string text = request.epochs.SerializeAsString();
    const core::Result<platform::TransactionResult> taken = m_store.transact(
            CallPurpose::Epoch,
            {{m_epochKey, request.epochRevision}, {m_holderKey, request.holderRevision}},
            {{m_epochKey, text, 0}, {m_holderKey, request.epochs.holder(), lease->id}});
    const bool noEffect = !taken && taken.error().kind == core::ErrorKind::Unreachable;
    if (noEffect)
        return makeResult(Status::Failed);
    // In all other cases the record is read back: an earlier attempt may have taken effect, and the
    // fencing token of appends is the revision of the record itself.
    const core::Result<platform::RangeResult> found
            = m_store.range(CallPurpose::Epoch, m_epochKey, false);
    if (!found)
        return makeResult(Status::Failed);
    const bool isOwnRecord = !found->keyValues.empty() && found->keyValues.front().value == text;
    if (!isOwnRecord)
        return makeResult(taken ? Status::Conflict : Status::Failed);
    JournalResult result = makeResult(Status::Done);
    result.epochRevision = found->keyValues.front().modRevision;
    result.lease = lease->id;
    return result;
}

JournalResult StoreClaimJournal::loadEpoch(std::uint64_t epoch)
{
    const core::Result<platform::RangeResult> found
            = m_store.range(CallPurpose::Claim, epochPrefix(epoch), true);
    if (!found)
        return makeResult(Status::Failed);
    JournalResult result = makeResult(Status::Done);
    for (const platform::KeyValue &item : found->keyValues)
        result.batches.push_back(item.value);
    return result;
}

JournalResult StoreClaimJournal::append(const JournalRequest &request)
{
    const std::string key = epochPrefix(request.epoch) + toFixedWidthHex(request.sequence);
    const core::Result<platform::TransactionResult> written
            = m_store.transact(CallPurpose::Claim, {{m_epochKey, request.epochRevision}, {key, 0}},
                               {{key, request.batch, 0}});
    if (written && written->succeeded)
        return makeResult(Status::Done);
    const bool noEffect = !written && written.error().kind == core::ErrorKind::Unreachable;
    if (noEffect)
        return makeResult(Status::Failed);
    // The batch may have been written by this call or by an earlier one whose reply was lost.
    const core::Result<platform::RangeResult> found = m_store.range(CallPurpose::Claim, key, false);
    if (!found)
        return makeResult(Status::Failed);
    const bool present
            = !found->keyValues.empty() && found->keyValues.front().value == request.batch;
    if (present)
        return makeResult(Status::Done);
    return makeResult(written ? Status::Conflict : Status::Failed);
}

JournalResult StoreClaimJournal::dropEpoch(std::uint64_t epoch)
{
    const core::Result<platform::RangeResult> found
            = m_store.range(CallPurpose::Claim, epochPrefix(epoch), true);
    if (!found)
        return makeResult(Status::Failed);
    std::vector<platform::Write> deletes;
    for (const platform::KeyValue &item : found->keyValues) {
        deletes.push_back({item.key, std::nullopt, 0});
        const bool isBatchComplete
                = deletes.size() == deletesPerTransaction || &item == &found->keyValues.back();
        if (!isBatchComplete)
            continue;
        if (!m_store.transact(CallPurpose::Claim, {}, deletes))
            return makeResult(Status::Failed);
        deletes.clear();
    }
    return makeResult(Status::Done);
}

JournalResult StoreClaimJournal::renew(std::int64_t lease)
{
    const core::Result<platform::Lease> renewed = m_store.keepAliveLease(CallPurpose::Epoch, lease);
    if (renewed)
        return makeResult(Status::Done);
    const bool expired = renewed.error().kind == core::ErrorKind::NotFound;
    return makeResult(expired ? Status::Conflict : Status::Failed);
}

JournalResult StoreClaimJournal::resign(std::int64_t lease)
{
    // If the call fails, the lease expires by itself.
    (void)m_store.revokeLease(CallPurpose::Epoch, lease);
    return makeResult(Status::Done);
}

std::string StoreClaimJournal::epochPrefix(std::uint64_t epoch) const
{
    return m_journalPrefix + toFixedWidthHex(epoch) + "/";
}

} // namespace sardinehollow::daemon
