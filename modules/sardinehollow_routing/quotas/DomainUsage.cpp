#include "sardinehollow_routing/quotas/DomainUsage.h"

#include <algorithm>

namespace sardinehollow::routing {

namespace {

// Two rounds of summaries of both of the domain's coordinators.
constexpr core::Duration silenceTime = std::chrono::milliseconds(450);
constexpr core::Duration staleTime = std::chrono::milliseconds(250);
// Time after the return of a domain within which the usage of its silent time arrives.
constexpr core::Duration catchUpTime = std::chrono::milliseconds(500);

} // namespace

DomainUsage::DomainUsage(core::Instant now)
    : m_heardAt(now)
    , m_reservedAt(now)
{ }

void DomainUsage::onHeard(core::Instant now)
{
    m_heardAt = now;
    if (!m_isSilent)
        return;
    m_isSilent = false;
    m_returnedAt = now;
}

void DomainUsage::checkSilence(core::Instant now)
{
    if (m_isSilent || now - m_heardAt <= silenceTime)
        return;
    m_isSilent = true;
    m_reservedAt = now;
}

bool DomainUsage::isStale(core::Instant now) const
{
    return !m_isSilent && now - m_heardAt > staleTime;
}

double DomainUsage::add(const std::string &team, double charged, core::Instant now)
{
    TeamShare &share = m_teams[team];
    share.charged.add(charged, now);
    if (now - m_returnedAt > catchUpTime)
        share.prepaid = 0;
    const double paid = std::clamp(charged, 0.0, share.prepaid);
    share.prepaid -= paid;
    return charged - paid;
}

double DomainUsage::rate(const std::string &team, core::Instant now) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return 0;
    return std::max(0.0, found->second.charged.rate(m_isSilent ? m_heardAt : now));
}

void DomainUsage::setShare(const std::string &team, double share)
{
    m_teams[team].share = share;
}

double DomainUsage::reserve(const std::string &team, const TeamQuota &quota, double daemonFraction,
                            core::Instant now)
{
    TeamShare &share = m_teams[team];
    // The same division as that of QuotaGate without verdicts: the parts of all domains sum to the
    // quota, so that the sides of a partition don't exceed it together.
    const double rate = quota.ratePerSecond * (share.share + daemonFraction) / 2;
    share.prepaid += rate * std::chrono::duration<double>(now - m_reservedAt).count();
    return rate;
}

} // namespace sardinehollow::routing
