#include "sardinehollow_routing/selection/SpillRamp.h"

#include "sardinehollow_routing/selection/SpillPlan.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

namespace {

// Largest rise of the level per second. The platform's rules allow a change of 0.15 in 2 s.
constexpr double levelRisePerSecond = 0.06;
// The level falls more slowly than it rises, so that load returns to the near servers gradually.
constexpr double levelFallPerSecond = 0.03;
// The level rises while the share of requests that find no capacity in the region exceeds this, and
// falls while it is below half of this.
constexpr double overflowThreshold = 0.04;
// Time constant of the moving average of the overflow share, in seconds.
constexpr double overflowAveragingSeconds = 0.5;
// A new daemon may spill without limit for this time; the share that it spilled sets its initial
// level.
constexpr core::Duration settlingTime = std::chrono::seconds(2);
// From settling until this time after the first request, the spill credit also limits requests
// within the level. Requests that find no capacity in the region are shed and not counted, which
// would make the spilled ones a larger share than the level. Twice the 6 s with which SpillRampTest
// still exceeds its limit.
constexpr core::Duration strictPeriod = std::chrono::seconds(12);
// Below 1, so that some requests still show whether the region has capacity again.
constexpr double maximumLevel = 0.9;
// Amount by which the share of spilled requests may exceed the level.
constexpr double spillTolerance = 0.04;
// Bound of the spill credit in either direction, in requests: two requests that arrive together may
// both spill, and an idle period accumulates no credit for a burst.
constexpr double maximumSpillCredit = 2;

double averaged(double average, double sample, core::Instant last, core::Instant now,
                double seconds)
{
    const double elapsed = std::chrono::duration<double>(now - last).count();
    // The event loop's time does not advance within an iteration; the minimum gives requests of the
    // same iteration a weight above 0.
    const double weight = 1 - std::exp(-std::max(elapsed, 0.001) / seconds);
    return average + weight * (sample - average);
}

} // namespace

SpillRamp::SpillRamp(double plannedLevel)
    : m_plannedLevel(std::min(plannedLevel, maximumLevel))
    , m_level(m_plannedLevel)
{ }

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
    const core::Duration elapsed = now - m_levelAt;
    m_levelAt = now;
    if (isSettling(now))
        return m_level;
    // Decays without requests: at a high level few or none remain to sample the region's capacity.
    const double overflow
            = averaged(m_overflowShare, 0, m_observedAt, now, overflowAveragingSeconds);
    if (!m_target) {
        followOverflow(overflow, elapsed);
        return m_level;
    }
    const bool isExceeded = m_target->mayBeExceeded && overflow > overflowThreshold;
    const double target = isExceeded ? maximumLevel : std::min(m_target->level, maximumLevel);
    m_level = approachedLevel(m_level, target, elapsed);
    return m_level;
}

void SpillRamp::followOverflow(double overflow, core::Duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    if (overflow > overflowThreshold)
        m_level = std::min(maximumLevel, m_level + levelRisePerSecond * seconds);
    else if (overflow < overflowThreshold / 2)
        m_level = std::max(0.0, m_level - levelFallPerSecond * seconds);
}

void SpillRamp::recordCapacity(bool hadRoom, core::Instant now)
{
    m_overflowShare = averaged(m_overflowShare, hadRoom ? 0 : 1, m_observedAt, now,
                               overflowAveragingSeconds);
    m_observedAt = now;
}

bool SpillRamp::maySpillWithinLevel(core::Instant now) const
{
    // A target may be high while the region refuses requests, as in the strict period.
    const bool isStrict = !isSettling(now) && (m_target || now - m_firstAt < strictPeriod);
    return !isStrict || m_spillCredit > 0;
}

bool SpillRamp::maySpillBeyondLevel() const
{
    return isSettling(m_observedAt) || m_spillCredit > 0;
}

void SpillRamp::recordRequest(bool hasSpilled, core::Instant now)
{
    const double spilled = hasSpilled ? 1 : 0;
    if (!isSettling(now)) {
        // Counted per request, not averaged over time: with few requests the error of an average
        // exceeds the tolerance, and too many would spill whenever the average is too low.
        m_spillCredit = std::clamp(m_spillCredit + m_level + spillTolerance - spilled,
                                   -maximumSpillCredit, maximumSpillCredit);
        return;
    }
    m_settlingRequests += 1;
    m_settlingSpilled += spilled;
    // The tolerance is subtracted because the spill credit adds it again afterwards.
    m_level = std::max(m_plannedLevel, m_settlingSpilled / m_settlingRequests - spillTolerance);
}

} // namespace sardinehollow::routing
