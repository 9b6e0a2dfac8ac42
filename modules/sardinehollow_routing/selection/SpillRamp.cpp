#include "sardinehollow_routing/selection/SpillRamp.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

namespace {

// Largest change of the level in a second. The platform's rules allow 0.15 in 2 s.
constexpr double risePerSecond = 0.06;
// Servers near are tried again more slowly than they are relieved.
constexpr double fallPerSecond = 0.03;
// The level rises while more than this share of the requests finds no room, and falls below half
// of it.
constexpr double acceptedOverflow = 0.04;
// Times over which shares are averaged.
constexpr double overflowSeconds = 0.5;
constexpr double sentSeconds = 1.0;
// A daemon without a past is free for this time; what it did then is where its ramp starts.
constexpr core::Duration settlingTime = std::chrono::seconds(2);
// Leaves requests that show whether the region has room again.
constexpr double highestLevel = 0.9;
// How far the share of requests that left may lie above the level.
constexpr double overflowTolerance = 0.04;

double averaged(double average, double sample, core::Instant last, core::Instant now,
                double seconds)
{
    const double elapsed = std::chrono::duration<double>(now - last).count();
    // Requests of the same moment still count: the loop's time stands still within a turn.
    const double weight = 1 - std::exp(-std::max(elapsed, 0.001) / seconds);
    return average + weight * (sample - average);
}

} // namespace

bool SpillRamp::isSettling(core::Instant now) const
{
    return now - m_firstAt < settlingTime;
}

double SpillRamp::level(core::Instant now)
{
    if (m_firstAt.count() == 0) {
        m_firstAt = now;
        m_observedAt = now;
        m_sentAt = now;
    }
    const double elapsed = std::chrono::duration<double>(now - m_levelAt).count();
    m_levelAt = now;
    if (isSettling(now))
        return m_level;
    // Fades without requests: at a high level few or none are left to observe.
    const double overflow = averaged(m_overflow, 0, m_observedAt, now, overflowSeconds);
    if (overflow > acceptedOverflow)
        m_level = std::min(highestLevel, m_level + risePerSecond * elapsed);
    else if (overflow < acceptedOverflow / 2)
        m_level = std::max(0.0, m_level - fallPerSecond * elapsed);
    return m_level;
}

void SpillRamp::observe(bool hadRoom, core::Instant now)
{
    m_overflow = averaged(m_overflow, hadRoom ? 0 : 1, m_observedAt, now, overflowSeconds);
    m_observedAt = now;
}

bool SpillRamp::mayOverflow() const
{
    return isSettling(m_observedAt) || m_sent < m_level + overflowTolerance;
}

void SpillRamp::onSent(bool hasLeft, core::Instant now)
{
    m_sent = averaged(m_sent, hasLeft ? 1 : 0, m_sentAt, now, sentSeconds);
    m_sentAt = now;
    if (!isSettling(now))
        return;
    ++m_settlingSent;
    m_settlingLeft += hasLeft ? 1 : 0;
    m_level = static_cast<double>(m_settlingLeft) / static_cast<double>(m_settlingSent);
    m_sent = m_level;
}

} // namespace sardinehollow::routing
