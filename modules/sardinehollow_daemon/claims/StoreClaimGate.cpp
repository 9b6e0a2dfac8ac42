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

using entry::ClaimAnswer;
using entry::ClaimStart;
using policy::RefusalReason;

constexpr platform::CallPurpose purpose = platform::CallPurpose::Claim;
constexpr const char *begunState = "begun";
constexpr const char *finishedState = "finished";
constexpr std::uint64_t sweepParts = 256;
// etcd accepts 128 operations in a transaction by default; each delete has a condition too.
constexpr std::size_t deletesPerTransaction = 50;
constexpr std::size_t reportLimit = 10000;
constexpr std::chrono::minutes reportWait {10};
// The outcome is written after the caller has its response, so that a caller that repeats its
// request at once can be faster. Two calls to the store take a few milliseconds.
constexpr std::array<core::Duration, 2> outcomePauses {std::chrono::milliseconds(20),
                                                       std::chrono::milliseconds(80)};
// A key whose claim is released between two calls is claimed anew.
constexpr int creationTries = 3;
// Several times the store's time-out.
constexpr std::chrono::seconds delayedWriteTime {5};

std::string recordText(const std::string &contentDigest, const std::string &claim,
                       const std::string &state, int status, const std::string &body,
                       std::int64_t expiry)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("content", contentDigest);
    object.set("claim", claim);
    object.set("state", state);
    object.set("status", status);
    object.set("body", body);
    object.set("expires", expiry);
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
                               WallClock wallClock, Wait wait, const std::string &deployment,
                               std::string owner)
    : m_store(store)
    , m_clock(clock)
    , m_wallClock(std::move(wallClock))
    , m_wait(std::move(wait))
    , m_prefix("sardinehollow/" + deployment + "/claims/unscoped/")
    , m_owner(std::move(owner))
    , m_nextPart(core::stableHash(m_owner))
{ }

ClaimAnswer StoreClaimGate::begin(const entry::ClaimRequest &request)
{
    const std::string key = recordKey(request);
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        number = ++m_lastNumber;
    }
    const std::string text = recordText(request.contentDigest, claimText(number), begunState, 0, "",
                                        expiry(request.retention));
    for (int tries = 0; tries < creationTries; ++tries) {
        const core::Result<platform::TransactionResult> created
                = m_store.transact(purpose, {{key, 0}}, {{key, text, 0}});
        if (created && created->succeeded)
            return {ClaimStart::Proceed, RefusalReason::None, 0, {}, number};
        if (!created && created.error().kind != core::ErrorKind::ResultUnknown)
            break;
        const std::optional<ClaimAnswer> answer
                = readRecord(request, key, number, created.has_value());
        if (answer)
            return *answer;
        // The claim that held the key was released meanwhile.
    }
    return {ClaimStart::Refuse, RefusalReason::ClaimStoreUnavailable, 0, {}, number};
}

std::optional<ClaimAnswer> StoreClaimGate::readRecord(const entry::ClaimRequest &request,
                                                      const std::string &key, std::uint64_t number,
                                                      bool heldByOther)
{
    const ClaimAnswer inProgress {ClaimStart::Unknown, RefusalReason::KeyInProgress, 0, {}, number};
    for (std::size_t reads = 0;; ++reads) {
        const core::Result<platform::RangeResult> found = m_store.range(purpose, key, false);
        if (!found && reads > 0)
            return inProgress;
        if (!found && heldByOther)
            return ClaimAnswer {
                    ClaimStart::Unknown, RefusalReason::ClaimUnaccounted, 0, {}, number};
        if (found && found->keyValues.empty() && heldByOther)
            return std::nullopt;
        if (!found || found->keyValues.empty())
            return abandon(key, number);
        const std::optional<ClaimAnswer> answer
                = answerFrom(found->keyValues.front().value, request, number);
        if (answer)
            return answer;
        const bool mayWait = reads < outcomePauses.size()
                && m_clock.now() + outcomePauses[reads] < request.deadline;
        if (!mayWait)
            return inProgress;
        m_wait(outcomePauses[reads]);
    }
}

std::optional<ClaimAnswer> StoreClaimGate::answerFrom(const std::string &text,
                                                      const entry::ClaimRequest &request,
                                                      std::uint64_t number) const
{
    const Poco::JSON::Object::Ptr record = parseRecord(text);
    const std::string state = field(record, "state");
    if (field(record, "claim") == claimText(number))
        return ClaimAnswer {ClaimStart::Proceed, RefusalReason::None, 0, {}, number};
    const bool readable = state == begunState || state == finishedState;
    if (!readable)
        return ClaimAnswer {ClaimStart::Unknown, RefusalReason::ClaimUnaccounted, 0, {}, number};
    if (field(record, "content") != request.contentDigest)
        return ClaimAnswer {ClaimStart::Refuse, RefusalReason::KeyReused, 0, {}, number};
    if (state == begunState)
        return std::nullopt;
    const int status = record->optValue<int>("status", 0);
    if (status == 0)
        return ClaimAnswer {ClaimStart::Unknown, RefusalReason::AnswerTruncated, 0, {}, number};
    return ClaimAnswer {ClaimStart::Replay, RefusalReason::None, status, field(record, "body"),
                        number};
}

ClaimAnswer StoreClaimGate::abandon(const std::string &key, std::uint64_t number)
{
    // The record may exist or still be written; without its deletion a repeat would be answered as
    // unknown although nothing ran.
    const core::Instant now = m_clock.now();
    report({key, claimText(number), std::nullopt, now + reportWait, now + delayedWriteTime});
    return {ClaimStart::Refuse, RefusalReason::ClaimStoreUnavailable, 0, {}, number};
}

void StoreClaimGate::finish(const entry::ClaimRequest &request, int status, const std::string &body)
{
    const std::string claim = claimText(request.claim);
    Report finished {recordKey(request),
                     claim,
                     recordText(request.contentDigest, claim, finishedState, status, body,
                                expiry(request.retention)),
                     m_clock.now() + reportWait,
                     {}};
    // Until the report is made a repeat is answered as unknown, which is true.
    if (apply(finished) == Applied::Failed)
        report(std::move(finished));
}

void StoreClaimGate::release(const entry::ClaimRequest &request)
{
    Report released {recordKey(request),
                     claimText(request.claim),
                     std::nullopt,
                     m_clock.now() + reportWait,
                     {}};
    if (apply(released) == Applied::Failed)
        report(std::move(released));
}

StoreClaimGate::Applied StoreClaimGate::apply(const Report &report)
{
    const core::Result<platform::RangeResult> found = m_store.range(purpose, report.key, false);
    if (!found)
        return Applied::Failed;
    if (found->keyValues.empty())
        return Applied::Absent;
    const platform::KeyValue &item = found->keyValues.front();
    const Poco::JSON::Object::Ptr record = parseRecord(item.value);
    const bool held
            = field(record, "claim") == report.claim && field(record, "state") == begunState;
    // Another claim has taken the key since, or an earlier try of this report took effect.
    if (!held)
        return Applied::Done;
    const core::Result<platform::TransactionResult> done = m_store.transact(
            purpose, {{report.key, item.modRevision}}, {{report.key, report.text, 0}});
    // After a lost reply or a change in between, the next try reads the record again.
    return done && done->succeeded ? Applied::Done : Applied::Failed;
}

void StoreClaimGate::report(Report report)
{
    const std::lock_guard lock(m_mutex);
    if (m_reports.size() < reportLimit)
        m_reports.push_back(std::move(report));
}

void StoreClaimGate::poll()
{
    std::deque<Report> reports;
    {
        const std::lock_guard lock(m_mutex);
        reports.swap(m_reports);
    }
    bool reachable = true;
    const core::Instant now = m_clock.now();
    for (Report &open : reports) {
        const Applied applied = reachable ? apply(open) : Applied::Failed;
        reachable = applied != Applied::Failed;
        const bool mayAppear = applied == Applied::Absent && open.absentUntil > now;
        const bool failed = applied == Applied::Failed && open.limit > now;
        if (mayAppear || failed)
            report(std::move(open));
    }
}

std::size_t StoreClaimGate::openReports() const
{
    const std::lock_guard lock(m_mutex);
    return m_reports.size();
}

void StoreClaimGate::sweep()
{
    std::array<char, 3> part {};
    std::snprintf(part.data(), part.size(), "%02x",
                  static_cast<unsigned int>(m_nextPart++ % sweepParts));
    const core::Result<platform::RangeResult> found
            = m_store.range(purpose, m_prefix + part.data(), true);
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
    // A record that changed meanwhile makes the whole transaction fail; the next sweep tries again.
    if (!deletes.empty())
        (void)m_store.transact(purpose, conditions, deletes);
}

std::int64_t StoreClaimGate::expiry(std::chrono::seconds retention) const
{
    return (m_wallClock() + retention).count();
}

std::string StoreClaimGate::claimText(std::uint64_t number) const
{
    return m_owner + "/" + std::to_string(number);
}

std::string StoreClaimGate::recordKey(const entry::ClaimRequest &request) const
{
    return m_prefix + core::sha256Hex(request.workKind + "\n" + request.key);
}

} // namespace sardinehollow::daemon
