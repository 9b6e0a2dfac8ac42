#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::routing {

/** Exponential moving average over time of a value that changes in steps; begins at 0. */
class TimeAverage
{
public:
    /** Sets the value from now on. The time constant, above 0, applies to the time since the last
     * call. */
    void set(double value, core::Instant now, core::Duration timeConstant);
    double average(core::Instant now, core::Duration timeConstant) const;

private:
    double m_value = 0;
    double m_average = 0;
    core::Instant m_updatedAt {0};
};

} // namespace sardinehollow::routing
