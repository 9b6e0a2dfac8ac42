#include "sardinehollow_routing/admission/TeamShares.h"

#include <algorithm>
#include <vector>

namespace sardinehollow::routing {

namespace {

constexpr std::size_t maximumTeams = 128;
constexpr core::Duration updateInterval = std::chrono::milliseconds(200);
constexpr double priorRequests = 2;
// Share of refusals up to which teams are treated alike.
constexpr double toleratedShare = 0.05;
// With fewer requests of the team in the window, a burst of two or three looks like a flood.
constexpr double excessFactor = 1.3;
constexpr double minimumExcessRequests = 4;

} // namespace

void TeamShares::onOutcome(std::uint64_t team, bool isRefused, core::Instant now)
{
    m_refused.add(isRefused, now);
    if (m_teams.size() >= maximumTeams && m_teams.count(team) == 0)
        removeSmallest(now);
    m_teams[team].add(isRefused, now);
    if (now - m_updatedAt >= updateInterval)
        updateFairPart(now);
}

void TeamShares::removeSmallest(core::Instant now)
{
    const auto smallest = std::min_element(
            m_teams.begin(), m_teams.end(), [now](const auto &first, const auto &second) {
                return first.second.count(now) < second.second.count(now);
            });
    m_teams.erase(smallest);
}

void TeamShares::updateFairPart(core::Instant now)
{
    m_updatedAt = now;
    m_fairPart = std::numeric_limits<double>::infinity();
    const double refusedShare = m_refused.share(now, priorRequests);
    if (refusedShare <= toleratedShare)
        return;
    std::vector<double> counts;
    double served = 0;
    for (const auto &[team, requests] : m_teams) {
        counts.push_back(requests.count(now));
        served += counts.back() * (1 - refusedShare);
    }
    std::sort(counts.begin(), counts.end());
    for (std::size_t index = 0; index < counts.size(); ++index) {
        m_fairPart = served / static_cast<double>(counts.size() - index);
        if (counts[index] > m_fairPart)
            return;
        served -= counts[index];
    }
}

bool TeamShares::isInExcess(std::uint64_t team, core::Instant now) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || m_teams.size() < 2)
        return false;
    const double recent = found->second.count(now);
    return recent > minimumExcessRequests && recent > m_fairPart * excessFactor;
}

} // namespace sardinehollow::routing
