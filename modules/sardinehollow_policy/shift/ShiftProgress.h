#pragma once

#include "sardinehollow_config/model/Shift.h"
#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_policy/shift/DestinationState.h"

#include <vector>

namespace sardinehollow::policy {

/**
 * Controls the gradual increase of the fraction of callers that a shift moves. The next step is
 * taken once every destination has been ready for the step interval since the last one. Not safe
 * for concurrent use.
 */
class ShiftProgress
{
public:
    ShiftProgress(const config::Shift &shift, core::Instant now);

    /** Applies a changed shift: a lower fraction at once, a higher one in steps. */
    void configure(const config::Shift &shift);
    /** Continues from the fraction that another daemon reached, limited to the configured one. */
    void resume(double fraction, core::Instant now);
    /** Takes the next step if it is due; states must have one entry for each destination. */
    void advance(const std::vector<DestinationState> &states, core::Instant now);

    /** Returns the fraction of the callers to move now, 0 to 1. */
    double fraction() const { return m_fraction; }
    bool isDone() const { return m_fraction >= m_shift.fraction; }

private:
    config::Shift m_shift;
    double m_fraction = 0.0;
    /** Time of the last step, or the last time at which a destination was not ready. */
    core::Instant m_waitingSince;
    bool m_started = false;
};

} // namespace sardinehollow::policy
