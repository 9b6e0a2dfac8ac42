#include "sardinehollow_routing/budgets/RetryBudget.h"

#include <algorithm>

namespace sardinehollow::routing {

namespace {

// A service with no allowance left can still retry now and then.
constexpr double smallestCapacity = 1;

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
{ }

void RetryBudget::onRequest(const std::string &service, std::size_t fleetSize)
{
    const double seconds = std::chrono::duration<double>(m_settings.window).count();
    // Half of the allowance may be spent at once, the other half flows back within a window.
    const double share = m_settings.allowance / 2 / static_cast<double>(fleetSize);
    TokenBucket &permits = bucket(service);
    permits.setLimits(share / seconds, std::max(share, smallestCapacity));
    permits.add(m_settings.ratio);
}

bool RetryBudget::take(const std::string &service, core::Instant now)
{
    return bucket(service).take(now);
}

TokenBucket &RetryBudget::bucket(const std::string &service)
{
    return m_buckets.try_emplace(service, 0.0, smallestCapacity).first->second;
}

} // namespace sardinehollow::routing
