#include "sardinehollow_routing/quotas/RateMeter.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

RateMeter::RateMeter(core::Duration averagingTime)
    : m_averagingSeconds(std::chrono::duration<double>(averagingTime).count())
{ }

void RateMeter::add(double events, core::Instant now)
{
    m_rate = rate(now) + events / m_averagingSeconds;
    m_at = std::max(m_at, now);
}

double RateMeter::rate(core::Instant now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_at).count();
    return elapsed > 0 ? m_rate * std::exp(-elapsed / m_averagingSeconds) : m_rate;
}

} // namespace sardinehollow::routing
