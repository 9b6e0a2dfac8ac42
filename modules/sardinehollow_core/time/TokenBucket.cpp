#include "sardinehollow_core/time/TokenBucket.h"

#include <algorithm>

namespace sardinehollow::core {

TokenBucket::TokenBucket(double rate, double capacity)
    : m_rate(rate)
    , m_capacity(capacity)
    , m_permits(capacity)
{ }

void TokenBucket::setLimits(double rate, double capacity)
{
    m_rate = rate;
    m_capacity = capacity;
    m_permits = std::min(m_permits, capacity);
}

bool TokenBucket::hasPermit(Instant now)
{
    refill(now);
    return m_permits >= 1;
}

bool TokenBucket::take(Instant now)
{
    if (!hasPermit(now))
        return false;
    m_permits -= 1;
    return true;
}

void TokenBucket::add(double permits)
{
    m_permits = std::min(m_capacity, m_permits + permits);
}

void TokenBucket::refill(Instant now)
{
    if (m_refilledAt.count() == 0)
        m_refilledAt = now;
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    add(std::max(0.0, seconds) * m_rate);
}

} // namespace sardinehollow::core
