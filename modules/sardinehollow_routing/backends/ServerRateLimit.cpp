#include "sardinehollow_routing/backends/ServerRateLimit.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>

namespace sardinehollow::routing {

namespace {

// A server that accepts no request at all is still asked now and then, since only its responses
// tell that the limit has ended.
constexpr double minimumRequestsPerSecond = 0.2;
// Without an expiry, all daemons would hold a permit after a quiet time and use them at once.
constexpr core::Duration permitLifetime = std::chrono::seconds(5);

} // namespace

ServerRateLimit::ServerRateLimit(std::uint64_t seed)
    : m_seed(seed)
{ }

void ServerRateLimit::set(double requestsPerSecond)
{
    if (!m_isActive || requestsPerSecond != m_requestsPerSecond)
        m_share.reset();
    m_isActive = true;
    m_requestsPerSecond = requestsPerSecond;
}

void ServerRateLimit::clear()
{
    m_isActive = false;
    m_nextPermitAt.reset();
}

core::Instant ServerRateLimit::permitAt(core::Instant now)
{
    if (!m_isActive)
        return now;
    if (!m_nextPermitAt || now - *m_nextPermitAt > permitLifetime)
        m_nextPermitAt = spreadTime(now);
    // The limit or the share may have grown since the time was set.
    m_nextPermitAt = std::min(*m_nextPermitAt, now + interval());
    return *m_nextPermitAt;
}

void ServerRateLimit::take(core::Instant now)
{
    if (!m_isActive)
        return;
    m_nextPermitAt = std::max(m_nextPermitAt.value_or(now) + interval(), now);
}

core::Duration ServerRateLimit::interval() const
{
    const double rate
            = std::max(m_requestsPerSecond, minimumRequestsPerSecond) * m_share.value_or(1);
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(1 / rate));
}

core::Instant ServerRateLimit::spreadTime(core::Instant now) const
{
    const auto time = static_cast<std::uint64_t>(now.count());
    const double position = core::hashToUnit(core::combineHashes(m_seed, time));
    return now + std::chrono::duration_cast<core::Duration>(interval() * position);
}

} // namespace sardinehollow::routing
