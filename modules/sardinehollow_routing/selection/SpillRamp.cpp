#include "sardinehollow_routing/selection/SpillRamp.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

namespace {

// Times over which the wanted and the actual share are averaged.
constexpr double wantedSeconds = 0.5;
constexpr double sentSeconds = 1.0;
// A daemon without a past is free for this time; what it did then is where its ramp starts.
constexpr core::Duration settlingTime = std::chrono::seconds(2);
// How far the actual share may lie off the level before requests are steered.
constexpr double tolerance = 0.02;

double averaged(double average, double sample, core::Instant last, core::Instant now,
                double seconds)
{
    const double elapsed = std::chrono::duration<double>(now - last).count();
    // Requests of the same moment still count: the loop's time stands still within a turn.
    const double weight = 1 - std::exp(-std::max(elapsed, 0.001) / seconds);
    return average + weight * (sample - average);
}

} // namespace

SpillRamp::SpillRamp(double changePerSecond)
    : m_changePerSecond(changePerSecond)
{ }

SpillRamp::Advice SpillRamp::advise(bool wantsToLeave, core::Instant now)
{
    if (m_firstAt.count() == 0) {
        m_firstAt = now;
        m_advisedAt = now;
        m_sentAt = now;
    }
    m_wanted = averaged(m_wanted, wantsToLeave ? 1 : 0, m_advisedAt, now, wantedSeconds);
    follow(now);
    if (now - m_firstAt < settlingTime)
        return Advice::Free;
    if (wantsToLeave)
        return m_sent > m_level + tolerance ? Advice::Stay : Advice::Free;
    return m_sent < m_level - tolerance ? Advice::Leave : Advice::Free;
}

void SpillRamp::follow(core::Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_advisedAt).count();
    m_advisedAt = now;
    if (now - m_firstAt < settlingTime)
        return;
    const double step = m_changePerSecond * elapsed;
    m_level += std::clamp(m_wanted - m_level, -step, step);
}

void SpillRamp::onSent(bool hasLeft, core::Instant now)
{
    if (now - m_firstAt < settlingTime) {
        ++m_settlingSent;
        m_settlingLeft += hasLeft ? 1 : 0;
        m_level = static_cast<double>(m_settlingLeft) / static_cast<double>(m_settlingSent);
        m_sent = m_level;
        m_sentAt = now;
        return;
    }
    m_sent = averaged(m_sent, hasLeft ? 1 : 0, m_sentAt, now, sentSeconds);
    m_sentAt = now;
}

} // namespace sardinehollow::routing
