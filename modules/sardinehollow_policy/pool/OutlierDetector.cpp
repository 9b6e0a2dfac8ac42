#include "sardinehollow_policy/pool/OutlierDetector.h"

#include <algorithm>

namespace sardinehollow::policy {

namespace {

constexpr double minimumOutlierFailureShare = 0.5;
constexpr double maximumMedianFailureShare = 0.25;
constexpr double outlierLatencyFactor = 3.0;
constexpr double minimumOutlierRelativeLatency = 1.3;

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void OutlierDetector::avoidIfOutlier(ServerSlots &server, const std::vector<ServerSlots *> &owned,
                                     core::Instant now) const
{
    if (server.health().isAvoided(now) || !isOutlier(server, owned))
        return;
    const auto avoided = std::count_if(owned.begin(), owned.end(), [now](const ServerSlots *other) {
        return other->health().isAvoided(now);
    });
    const double limit = m_settings.maxAvoidedShare * static_cast<double>(owned.size());
    if (static_cast<double>(avoided + 1) > limit)
        return;
    server.health().avoid(now, m_settings.baseAvoidanceTime, m_settings.maxAvoidance);
}

bool OutlierDetector::isOutlier(const ServerSlots &server,
                                const std::vector<ServerSlots *> &owned) const
{
    const ServerHealth &health = server.health();
    const bool fails = health.failsConsecutively()
            || (health.hasFailureSamples() && health.failureShare() > minimumOutlierFailureShare);
    const bool slow = health.hasLatencySamples()
            && health.relativeLatency() > minimumOutlierRelativeLatency;
    // Computes the medians only for servers that may be outliers.
    if (!fails && !slow)
        return false;
    std::vector<double> failures;
    std::vector<double> latencies;
    for (const ServerSlots *other : owned) {
        if (other == &server)
            continue;
        failures.push_back(other->health().failureShare());
        latencies.push_back(other->health().relativeLatency());
    }
    if (failures.empty())
        return false;
    return (fails && median(std::move(failures)) < maximumMedianFailureShare)
            || (slow
                && health.relativeLatency() > outlierLatencyFactor * median(std::move(latencies)));
}

} // namespace sardinehollow::policy
