#include "sardinehollow_peer/claims/ClaimClient.h"

#include "sardinehollow_peer/claims/ScopedKey.h"

#include <algorithm>

namespace sardinehollow::peer {

using policy::RefusalReason;
using Result = ClaimVerdict::Result;

ClaimClient::ClaimClient(std::string vm, std::uint64_t incarnation, CandidateProvider candidates,
                         ClaimClientSettings settings)
    : m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_candidates(std::move(candidates))
    , m_settings(settings)
{ }

std::uint64_t ClaimClient::begin(ClaimCall call, core::Instant now)
{
    const std::optional<ScopedKey> scoped = ScopedKey::parse(call.key);
    Claim claim;
    claim.call = std::move(call);
    claim.call.operation = ClaimOperation::Begin;
    claim.call.id = {m_vm, m_incarnation, ++m_lastNumber};
    claim.failureDomain = scoped ? scoped->failureDomain : std::string();
    claim.nextSend = now;
    claim.expiry = std::min<core::Instant>(claim.call.deadline, now + m_settings.beginTimeout);
    m_claims.emplace(m_lastNumber, std::move(claim));
    return m_lastNumber;
}

std::optional<ClaimVerdict> ClaimClient::takeVerdict(std::uint64_t number)
{
    const auto found = m_claims.find(number);
    if (found == m_claims.end() || !found->second.verdict)
        return std::nullopt;
    Claim &claim = found->second;
    ClaimVerdict verdict = std::move(*claim.verdict);
    claim.verdict.reset();
    // A claim whose begin call timed out is kept until its release is acknowledged or times out.
    if (!claim.granted && claim.call.operation == ClaimOperation::Begin)
        m_claims.erase(found);
    return verdict;
}

void ClaimClient::finish(std::uint64_t number, int status, const std::string &body,
                         core::Instant now)
{
    const auto found = m_claims.find(number);
    if (found == m_claims.end())
        return;
    found->second.call.status = status;
    found->second.call.body = body;
    report(number, ClaimOperation::Finish, now);
}

void ClaimClient::release(std::uint64_t number, core::Instant now)
{
    report(number, ClaimOperation::Release, now);
}

void ClaimClient::report(std::uint64_t number, ClaimOperation operation, core::Instant now)
{
    const auto found = m_claims.find(number);
    if (found == m_claims.end())
        return;
    Claim &claim = found->second;
    claim.granted = false;
    claim.call.operation = operation;
    claim.attempts = 0;
    claim.nextSend = now;
    claim.expiry = now + m_settings.reportTimeout;
    ++m_pendingReports;
    if (m_pendingReports <= m_settings.reportLimit)
        return;
    // Too many reports are pending, so this one is dropped. The owner then keeps the claim as
    // started, and a retry of the request receives the verdict Unknown.
    m_claims.erase(found);
    --m_pendingReports;
}

void ClaimClient::abandonBegin(Claim &claim, core::Instant now)
{
    ClaimVerdict verdict;
    verdict.reason = RefusalReason::NotOwner;
    verdict.confirmed = false;
    claim.verdict = verdict;
    claim.call.operation = ClaimOperation::Release;
    claim.attempts = 0;
    claim.nextSend = now;
    claim.expiry = now + m_settings.reportTimeout;
    ++m_pendingReports;
}

void ClaimClient::onResponse(const ClaimResponse &response, core::Instant now)
{
    const bool isOwnClaim = response.id.vm == m_vm && response.id.incarnation == m_incarnation;
    const auto found = isOwnClaim ? m_claims.find(response.id.number) : m_claims.end();
    if (found == m_claims.end())
        return;
    Claim &claim = found->second;
    const bool isAwaitingVerdict
            = !claim.granted && claim.call.operation == response.operation && !claim.verdict;
    if (claim.call.operation != ClaimOperation::Begin) {
        if (claim.call.operation != response.operation)
            return;
        if (response.verdict.reason == RefusalReason::NotOwner) {
            claim.nextSend = now + m_settings.notOwnerDelay;
            return;
        }
        // Acknowledged: advance() removes the claim, after takeVerdict() if a verdict is still
        // pending.
        claim.expiry = now;
        return;
    }
    if (!isAwaitingVerdict)
        return;
    if (response.verdict.reason == RefusalReason::NotOwner) {
        claim.nextSend = now + m_settings.notOwnerDelay;
        return;
    }
    claim.granted = response.verdict.result == Result::Proceed;
    claim.verdict = response.verdict;
}

std::vector<ClaimMessage> ClaimClient::advance(core::Instant now)
{
    std::vector<ClaimMessage> messages;
    for (auto item = m_claims.begin(); item != m_claims.end();) {
        Claim &claim = item->second;
        const bool isBegin = claim.call.operation == ClaimOperation::Begin;
        const bool hasNoCallDue = isBegin && (claim.granted || claim.verdict);
        if (hasNoCallDue) {
            ++item;
            continue;
        }
        if (isBegin && now >= claim.expiry)
            abandonBegin(claim, now);
        if (!isBegin && now >= claim.expiry && !claim.verdict) {
            item = m_claims.erase(item);
            --m_pendingReports;
            continue;
        }
        if (now >= claim.nextSend && now < claim.expiry) {
            const std::vector<std::string> candidates = m_candidates(claim.failureDomain);
            if (!candidates.empty())
                messages.push_back({candidates[claim.attempts % candidates.size()], claim.call});
            ++claim.attempts;
            claim.nextSend = now + m_settings.resendInterval;
        }
        ++item;
    }
    return messages;
}

} // namespace sardinehollow::peer
