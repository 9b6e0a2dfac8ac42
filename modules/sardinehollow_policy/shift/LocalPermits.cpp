#include "sardinehollow_policy/shift/LocalPermits.h"

namespace sardinehollow::policy {

LocalPermits::LocalPermits(LocalPermitsSettings settings)
    : m_settings(std::move(settings))
{ }

std::optional<PermitRequest> LocalPermits::nextRequest(std::uint32_t wanted,
                                                       std::uint64_t generation, core::Instant now)
{
    if (m_lastRequest && now - *m_lastRequest < m_settings.minRequestInterval)
        return std::nullopt;
    const bool hasUnreportedChange
            = m_spent != m_reportedSpent || generation != m_reportedGeneration;
    const bool keepAliveDue
            = !m_lastRequest || now - *m_lastRequest >= m_settings.keepAliveInterval;
    if (permits(now) >= wanted && !hasUnreportedChange && !keepAliveDue)
        return std::nullopt;
    m_permits = permits(now);
    m_lastRequest = now;
    m_isAnswered = false;
    m_reportedSpent = m_spent;
    m_reportedGeneration = generation;
    ++m_sequence;
    return PermitRequest {m_settings.shift,
                          m_settings.holder,
                          m_enforcerIncarnation,
                          generation,
                          m_sequence,
                          wanted,
                          m_permits,
                          m_spent};
}

void LocalPermits::onGrant(const PermitGrant &grant, core::Instant now)
{
    if (m_isAnswered || grant.requestSequence != m_sequence)
        return;
    m_isAnswered = true;
    // A grant of a new enforcer must not extend the permits of the previous one.
    const bool sameEnforcer = grant.enforcerIncarnation == m_enforcerIncarnation;
    const std::uint32_t kept = sameEnforcer ? permits(now) : 0;
    m_enforcerIncarnation = grant.enforcerIncarnation;
    m_permits = kept + grant.added;
    if (grant.added > 0 || !sameEnforcer)
        m_expiry = *m_lastRequest + grant.lifetime - m_settings.expiryMargin;
}

void LocalPermits::discardAll()
{
    m_permits = 0;
    m_isAnswered = true;
    m_lastRequest.reset();
}

bool LocalPermits::usePermit(core::Instant now)
{
    if (permits(now) == 0)
        return false;
    --m_permits;
    ++m_spent;
    return true;
}

std::uint32_t LocalPermits::permits(core::Instant now) const
{
    return now < m_expiry ? m_permits : 0;
}

} // namespace sardinehollow::policy
