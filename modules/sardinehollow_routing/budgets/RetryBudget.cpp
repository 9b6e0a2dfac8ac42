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
    const double capacity = std::max(share, smallestCapacity);
    core::TokenBucket &permits
            = m_buckets.try_emplace(service, share / seconds, capacity).first->second;
    permits.setLimits(share / seconds, capacity);
    permits.add(m_settings.ratio);
}

bool RetryBudget::take(const std::string &service, core::Instant now)
{
    const auto found = m_buckets.find(service);
    return found != m_buckets.end() && found->second.take(now);
}

} // namespace sardinehollow::routing
