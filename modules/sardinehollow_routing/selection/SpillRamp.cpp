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
// Time over which the share without room is averaged.
constexpr double overflowSeconds = 0.5;
// A daemon without a past is free for this time; what it did then is where its ramp starts.
constexpr core::Duration settlingTime = std::chrono::seconds(2);
// For this time the requests that leave are held to the level also by number: those that find no
// room near are refused and do not count, so that the others would be a larger share. Twice
// the 6 s with which SpillRampTest still exceeds its limit.
constexpr core::Duration strictTime = std::chrono::seconds(12);
// Leaves requests that show whether the region has room again.
constexpr double highestLevel = 0.9;
// How far the share of requests that left may lie above the level.
constexpr double overflowTolerance = 0.04;
// Bound of what is saved up for later or owed, in requests: two that arrive together may both
// leave, and a pause saves up no burst.
constexpr double mostAllowance = 2;

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

bool SpillRamp::mayFollowLevel(core::Instant now) const
{
    const bool isStrict = !isSettling(now) && now - m_firstAt < strictTime;
    return !isStrict || m_allowance > 0;
}

bool SpillRamp::mayOverflow() const
{
    return isSettling(m_observedAt) || m_allowance > 0;
}

void SpillRamp::onSent(bool hasLeft, core::Instant now)
{
    const double left = hasLeft ? 1 : 0;
    if (!isSettling(now)) {
        // Counted by requests, not by time: an average over few of them is off by more than the
        // tolerance, and would let more leave whenever it is too low.
        m_allowance = std::clamp(m_allowance + m_level + overflowTolerance - left, -mostAllowance,
                                 mostAllowance);
        return;
    }
    m_settlingSent += 1;
    m_settlingLeft += left;
    // What may leave beyond the level comes on top of it afterwards.
    m_level = std::max(0.0, m_settlingLeft / m_settlingSent - overflowTolerance);
}

} // namespace sardinehollow::routing
