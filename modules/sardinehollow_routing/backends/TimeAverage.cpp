#include "sardinehollow_routing/backends/TimeAverage.h"

#include <cmath>

namespace sardinehollow::routing {

void TimeAverage::set(double value, core::Instant now, core::Duration timeConstant)
{
    m_average = average(now, timeConstant);
    m_value = value;
    m_updatedAt = now;
}

double TimeAverage::average(core::Instant now, core::Duration timeConstant) const
{
    const double constants = std::chrono::duration<double>(now - m_updatedAt)
            / std::chrono::duration<double>(timeConstant);
    return m_value + (m_average - m_value) * std::exp(-constants);
}

} // namespace sardinehollow::routing
