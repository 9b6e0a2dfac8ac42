#include "sardinehollow_gateway/peers/SummaryFilter.h"

#include <algorithm>

namespace sardinehollow::gateway {

SummaryFilter::SummaryFilter(double unreportedSeconds, core::Duration maximumDelay)
    : m_unreportedSeconds(unreportedSeconds)
    , m_maximumDelay(maximumDelay)
{ }

routing::UsageReport SummaryFilter::select(const routing::UsageReport &summary, core::Instant now)
{
    for (const auto &[team, usage] : summary.teams)
        m_pending[team] = usage;
    routing::UsageReport selected {summary.sequence, summary.baseSequence, {}};
    for (auto item = m_pending.begin(); item != m_pending.end();) {
        const auto &[team, usage] = *item;
        if (!isDue(team, usage, now)) {
            ++item;
            continue;
        }
        selected.teams.insert(*item);
        ++item;
    }
    onSent(selected, now);
    std::erase_if(m_sent, [this](const auto &entry) { return !m_quotas.contains(entry.first); });
    return selected;
}

void SummaryFilter::onSent(const routing::UsageReport &summary, core::Instant now)
{
    for (const auto &[team, usage] : summary.teams) {
        m_sent[team] = {usage.total.requested, now};
        m_pending.erase(team);
    }
}

bool SummaryFilter::isDue(const std::string &team, const routing::TeamUsage &usage,
                          core::Instant now) const
{
    const auto sent = m_sent.find(team);
    const auto quota = m_quotas.find(team);
    if (sent == m_sent.end() || quota == m_quotas.end() || now - sent->second.at >= m_maximumDelay)
        return true;
    const double limit = m_unreportedSeconds * quota->second.ratePerSecond
            / static_cast<double>(std::max<std::size_t>(1, m_domainCount));
    const auto unreported = static_cast<double>(usage.total.requested - sent->second.requested);
    return usage.total.requested < sent->second.requested || unreported >= std::max(1.0, limit);
}

} // namespace sardinehollow::gateway
