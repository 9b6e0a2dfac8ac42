#include "sardinehollow_policy/pool/OwnershipLease.h"

namespace sardinehollow::policy {

void OwnershipLease::ensureStarted(core::Instant now)
{
    if (m_started)
        return;
    m_started = true;
    m_renewedAt = now;
}

void OwnershipLease::renew(core::Instant now)
{
    ensureStarted(now);
    if (now - m_renewedAt > m_duration)
        m_admitsAt = now + m_holdOff;
    m_renewedAt = now;
}

bool OwnershipLease::admits(core::Instant now) const
{
    return m_started && now - m_renewedAt <= m_duration && now >= m_admitsAt;
}

} // namespace sardinehollow::policy
