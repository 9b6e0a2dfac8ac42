#include "sardinehollow_policy/shift/ShiftProgress.h"

#include <algorithm>

namespace sardinehollow::policy {

ShiftProgress::ShiftProgress(const config::Shift &shift, core::Instant now)
    : m_shift(shift)
    , m_waitingSince(now)
{ }

void ShiftProgress::configure(const config::Shift &shift)
{
    m_shift = shift;
    m_fraction = std::min(m_fraction, shift.fraction);
}

void ShiftProgress::resume(double fraction, core::Instant now)
{
    m_fraction = std::clamp(fraction, 0.0, m_shift.fraction);
    m_waitingSince = now;
    m_started = m_started || m_fraction > 0.0;
}

void ShiftProgress::advance(const std::vector<DestinationState> &states, core::Instant now)
{
    const bool ready = std::all_of(states.begin(), states.end(), [](DestinationState state) {
        return state == DestinationState::Ready;
    });
    if (!ready || states.size() != m_shift.destinations.size()) {
        m_waitingSince = now;
        return;
    }
    // The first step needs no wait, because the shift has not affected the destinations yet.
    if (isDone() || (m_started && now - m_waitingSince < m_shift.stepInterval))
        return;
    m_fraction = std::min(m_fraction + m_shift.stepFraction, m_shift.fraction);
    m_waitingSince = now;
    m_started = true;
}

} // namespace sardinehollow::policy
