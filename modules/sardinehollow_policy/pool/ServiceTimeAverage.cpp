#include "sardinehollow_policy/pool/ServiceTimeAverage.h"

#include <algorithm>

namespace sardinehollow::policy {

namespace {

constexpr std::uint32_t minimumSamples = 5;
constexpr double minimumWeight = 0.05;

} // namespace

void ServiceTimeAverage::record(core::Duration latency)
{
    ++m_samples;
    const double weight = std::max(minimumWeight, 1.0 / m_samples);
    m_mean += weight * (static_cast<double>(latency.count()) - m_mean);
}

core::Duration ServiceTimeAverage::mean() const
{
    if (m_samples < minimumSamples)
        return core::Duration(0);
    return core::Duration(static_cast<core::Duration::rep>(m_mean));
}

} // namespace sardinehollow::policy
