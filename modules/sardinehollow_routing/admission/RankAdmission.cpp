#include "sardinehollow_routing/admission/RankAdmission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace sardinehollow::routing {

namespace {

// A rank without requests for this long no longer counts.
constexpr core::Duration rankLifetime = std::chrono::seconds(8);
// Share of refused or late requests up to which a rank needs no reserve: servers are chosen by
// object, so that a few requests meet a full server at any load.
constexpr double toleratedShare = 0.05;
// Unserved share of more urgent ranks that is tolerated, relative to the rank's own, and its limit.
// Urgent work stays ahead, but the last few of its requests do not cost most of the other work.
constexpr double toleratedRatio = 0.7;
constexpr double largestToleratedShare = 0.25;
// Number of requests assumed as served besides the recent ones.
constexpr double priorRequests = 1;
// Change of the reserve per second and unit of the unserved share, above and below the tolerated
// share. The reserve falls more slowly than it rises, so that the daemons, which see the same
// servers late, do not take and release capacity together.
constexpr double riseRate = 0.4;
constexpr double fallRate = 1.0;
constexpr core::Duration shortestStep = std::chrono::milliseconds(100);
constexpr core::Duration longestStep = std::chrono::seconds(1);
// Reserve at which the queue of less urgent requests is used up; above it, slots are reserved. Long
// requests that hold all slots delay urgent ones, so that a shorter queue alone gains little.
constexpr double queueReserve = 0.2;
// Load per slot below which less urgent requests are always taken: an idle server takes one.
constexpr double minimumLoad = 0.3;
// A rank is served at least this often, compared with all requests; required is a quarter.
constexpr double minimumServedShare = 0.3;
// Limits of the count of requests by which a rank is below its minimum, or above it: after a calm
// time, a rank that is refused soon gets its minimum.
constexpr double largestDebt = 3;
constexpr double largestCredit = 1;
// Limit on the load for teams that send more than their fair part: a slot in four is left to the
// other teams.
constexpr double excessLoad = 0.7;
constexpr double reportedChange = 0.2;
constexpr core::Duration reportInterval = std::chrono::seconds(5);

} // namespace

RankAdmission::RankAdmission(LoadLimits unrestricted, double reservedSlotShare, std::uint64_t seed)
    : m_unrestricted(unrestricted)
    , m_lowestLimit(
              std::min(std::max(minimumLoad, 1 - reservedSlotShare), unrestricted.unconditional))
    , m_returns(seed)
{ }

bool RankAdmission::isActive(const Rank &rank, core::Instant now)
{
    return rank.unserved.lastAt().count() > 0 && now - rank.unserved.lastAt() < rankLifetime;
}

bool RankAdmission::hasMoreUrgent(const Service &service, int rank, core::Instant now)
{
    return std::any_of(service.ranks.begin(), service.ranks.lower_bound(rank),
                       [now](const auto &item) { return isActive(item.second, now); });
}

LoadLimits RankAdmission::limitsAt(double reserve) const
{
    if (reserve <= 0)
        return m_unrestricted;
    if (reserve <= queueReserve) {
        const double part = reserve / queueReserve;
        return {m_unrestricted.unconditional,
                std::lerp(m_unrestricted.maximum, m_unrestricted.unconditional, part)};
    }
    const double part = (reserve - queueReserve) / (1 - queueReserve);
    const double limit = std::lerp(m_unrestricted.unconditional, m_lowestLimit, part);
    return {limit, limit};
}

LoadLimits RankAdmission::limitsFor(const std::string &service, int rank,
                                    std::optional<std::uint64_t> team, core::Instant now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return m_unrestricted;
    const auto state = found->second.ranks.find(rank);
    if (state == found->second.ranks.end() || state->second.minimumDebt >= 1)
        return m_unrestricted;
    LoadLimits limits = m_unrestricted;
    if (hasMoreUrgent(found->second, rank, now))
        limits = limitsAt(state->second.reserve);
    if (team && state->second.teams.isInExcess(*team, now)) {
        const double limit = std::max(excessLoad, m_lowestLimit);
        limits.unconditional = std::min(limits.unconditional, limit);
        limits.maximum = std::min(limits.maximum, limit);
    }
    return limits;
}

void RankAdmission::onAdmitted(const std::string &service, int rank)
{
    double &debt = m_services[service].ranks[rank].minimumDebt;
    debt = std::max(debt - 1, -largestCredit);
}

void RankAdmission::onOutcome(const std::string &serviceName, int rankNumber,
                              std::optional<std::uint64_t> team, AdmissionOutcome outcome,
                              core::Instant now)
{
    Service &service = m_services[serviceName];
    Rank &rank = service.ranks[rankNumber];
    const bool isRefused = outcome == AdmissionOutcome::Refused;
    service.refused.add(isRefused, now);
    rank.unserved.add(outcome != AdmissionOutcome::InTime, now);
    const double servedShare = 1 - service.refused.share(now, 0);
    rank.minimumDebt = std::min(rank.minimumDebt + minimumServedShare * servedShare, largestDebt);
    if (team)
        rank.teams.onOutcome(*team, isRefused, now);
    adapt(service, now);
}

void RankAdmission::adapt(Service &service, core::Instant now)
{
    if (now - service.adaptedAt < shortestStep)
        return;
    const double seconds
            = std::chrono::duration<double>(std::min(now - service.adaptedAt, longestStep)).count();
    service.adaptedAt = now;
    double urgentUnserved = 0;
    bool isMostUrgent = true;
    for (auto &[number, rank] : service.ranks) {
        if (isMostUrgent || !isActive(rank, now)) {
            rank.reserve = 0;
        } else {
            const double own = rank.unserved.share(now, priorRequests);
            const double excess = urgentUnserved
                    - std::clamp(own * toleratedRatio, toleratedShare, largestToleratedShare);
            const double rate = excess > 0 ? riseRate : fallRate;
            rank.reserve = std::clamp(rank.reserve + rate * excess * seconds, 0.0, 1.0);
        }
        if (!isActive(rank, now))
            continue;
        isMostUrgent = false;
        urgentUnserved = std::max(urgentUnserved, rank.unserved.share(now, priorRequests));
    }
}

core::Duration RankAdmission::retryAfter(const std::string &serviceName, int rankNumber,
                                         core::Duration timeLeft, core::Instant now)
{
    const Service &service = m_services[serviceName];
    double before = 0;
    double active = 0;
    for (const auto &[number, rank] : service.ranks) {
        if (number != rankNumber && !isActive(rank, now))
            continue;
        before += number < rankNumber ? 1 : 0;
        active += 1;
    }
    active = std::max(active, before + 1);
    if (active < 2)
        return ReturnSchedule::shortest;
    return m_returns.next(service.refused.share(now, priorRequests), before / active, 1 / active,
                          timeLeft);
}

std::vector<RankStatus> RankAdmission::status(core::Instant now) const
{
    std::vector<RankStatus> all;
    for (const auto &[name, service] : m_services) {
        double urgentUnserved = 0;
        for (const auto &[number, rank] : service.ranks) {
            if (!isActive(rank, now))
                continue;
            all.push_back({name, number, limitsFor(name, number, std::nullopt, now), rank.reserve,
                           urgentUnserved, service.refused.share(now, 0),
                           service.refused.count(now)});
            urgentUnserved = std::max(urgentUnserved, rank.unserved.share(now, priorRequests));
        }
    }
    return all;
}

std::vector<RankStatus> RankAdmission::takeChanges(core::Instant now)
{
    std::vector<RankStatus> changes;
    for (const RankStatus &item : status(now)) {
        Rank &rank = m_services[item.service].ranks[item.rank];
        const bool hasBegunOrEnded = (item.reserve > 0) != (rank.reportedReserve > 0);
        const bool hasChanged = hasBegunOrEnded
                || std::abs(item.reserve - rank.reportedReserve) >= reportedChange;
        if (!hasChanged || now - rank.reportedAt < reportInterval)
            continue;
        rank.reportedReserve = item.reserve;
        rank.reportedAt = now;
        changes.push_back(item);
    }
    return changes;
}

} // namespace sardinehollow::routing
