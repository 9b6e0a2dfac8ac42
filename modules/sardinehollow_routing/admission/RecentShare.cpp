#include "sardinehollow_routing/admission/RecentShare.h"

#include <cmath>

namespace sardinehollow::routing {

namespace {

// Time constant of the decay in seconds: several events at a daemon with one request a second.
constexpr double decaySeconds = 3;

} // namespace

double RecentShare::decay(core::Duration age)
{
    return std::exp(-std::chrono::duration<double>(age).count() / decaySeconds);
}

void RecentShare::add(bool hasProperty, core::Instant now)
{
    const double factor = decay(now - m_lastAt);
    m_count = m_count * factor + 1;
    m_withProperty = m_withProperty * factor + (hasProperty ? 1 : 0);
    m_lastAt = now;
}

double RecentShare::count(core::Instant now) const
{
    return m_count * decay(now - m_lastAt);
}

double RecentShare::share(core::Instant now, double prior) const
{
    const double factor = decay(now - m_lastAt);
    const double total = m_count * factor + prior;
    return total > 0 ? m_withProperty * factor / total : 0;
}

} // namespace sardinehollow::routing
