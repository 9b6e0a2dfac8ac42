#include "sardinehollow_routing/budgets/RetryBudget.h"

#include <algorithm>

namespace sardinehollow::routing {

namespace {

// Lets a service without an allowance still retry occasionally.
constexpr double minimumCapacity = 1;

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
{ }

void RetryBudget::onRequest(const std::string &service, std::size_t daemonCount)
{
    const double seconds = std::chrono::duration<double>(m_settings.window).count();
    // Half of the allowance is the burst capacity; the other half is refilled over the window.
    const double share = m_settings.allowance / 2 / static_cast<double>(daemonCount);
    const double capacity = std::max(share, minimumCapacity);
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
