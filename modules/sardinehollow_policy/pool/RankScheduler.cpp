#include "sardinehollow_policy/pool/RankScheduler.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::policy {

namespace {

constexpr double inFlightSmoothingSeconds = 0.5;
// With a longer time constant, requests queued during a hold-off still counted as demand seconds
// after they had left the queue.
constexpr double demandSmoothingSeconds = 1.0;
constexpr double maximumFloorDeficit = 1.0;
constexpr double roundingTolerance = 1e-9;

double toSeconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double RankScheduler::floorSlots(std::size_t rank) const
{
    return m_ranks.at(rank).floorShare * m_slots;
}

void RankScheduler::advance(core::Instant now)
{
    const double seconds = toSeconds(now - m_advancedAt);
    if (seconds <= 0.0)
        return;
    m_advancedAt = now;
    const double weight = 1.0 - std::exp(-seconds / inFlightSmoothingSeconds);
    const double demandWeight = 1.0 - std::exp(-seconds / demandSmoothingSeconds);
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        Rank &rank = m_ranks[index];
        rank.smoothedInFlight += weight * (rank.inFlight - rank.smoothedInFlight);
        const double demand = std::min<double>(rank.inFlight + rank.queued, m_slots);
        rank.recentDemand += demandWeight * (demand - rank.recentDemand);
        if (rank.queued == 0) {
            rank.floorDeficit = std::min(rank.floorDeficit, 0.0);
            if (rank.inFlight == 0)
                rank.floorDeficit = 0.0;
            continue;
        }
        rank.floorDeficit += (floorSlots(index) - rank.inFlight) * seconds;
        rank.floorDeficit = std::clamp(rank.floorDeficit, -maximumFloorDeficit * (1.0 + m_slots),
                                       maximumFloorDeficit);
    }
}

bool RankScheduler::isBelowFloor(std::size_t rank) const
{
    const double floor = floorSlots(rank);
    const double inFlight = m_ranks[rank].inFlight;
    if (inFlight + 1.0 <= floor + roundingTolerance)
        return true;
    // A floor that is not a whole number of slots is met on average over time.
    return m_ranks[rank].floorDeficit > 0.0 && inFlight < std::ceil(floor);
}

bool RankScheduler::owesSlotToOtherRank(std::size_t rank) const
{
    for (std::size_t other = 1; other < m_ranks.size(); ++other) {
        if (other != rank && m_ranks[other].queued > 0 && isBelowFloor(other))
            return true;
    }
    return false;
}

bool RankScheduler::mayStart(std::size_t rank, std::uint32_t freeSlots) const
{
    return isBelowFloor(rank) || 1.0 + reservedSlots(rank) <= freeSlots;
}

std::vector<std::size_t> RankScheduler::servingOrder() const
{
    std::vector<std::size_t> order;
    for (std::size_t rank = 1; rank < m_ranks.size(); ++rank) {
        if (m_ranks[rank].queued > 0 && isBelowFloor(rank))
            order.push_back(rank);
    }
    for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
        if (std::find(order.begin(), order.end(), rank) == order.end())
            order.push_back(rank);
    }
    return order;
}

core::Duration RankScheduler::estimatedWait(std::size_t rank, std::size_t waiting) const
{
    double otherInFlight = 0.0;
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        if (index != rank)
            otherInFlight += m_ranks[index].smoothedInFlight;
    }
    const double slots = std::max({floorSlots(rank), m_slots - otherInFlight, 0.5});
    const double seconds
            = static_cast<double>(waiting) * toSeconds(m_ranks[rank].serviceTime) / slots;
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

double RankScheduler::reservedSlots(std::size_t rank) const
{
    if (m_urgentHeadroom < 0.0)
        return 0.0;
    double lowerFloors = 0.0;
    double reserve = 0.0;
    for (std::size_t index = m_ranks.size(); index-- > 0;) {
        const Rank &urgent = m_ranks[index];
        // Requests that finish well within the target free their slots soon enough without a
        // reserve.
        const bool runsTooLong = m_ranks[rank].serviceTime * 2 > urgent.latencyTarget;
        if (index < rank && runsTooLong) {
            const double limit = std::max(0.0, m_slots * (1.0 - lowerFloors));
            const double headroom = m_urgentHeadroom * std::sqrt(urgent.recentDemand);
            const double wanted = std::min(limit, urgent.recentDemand + headroom);
            reserve += std::max(0.0, wanted - urgent.inFlight);
        }
        lowerFloors += urgent.floorShare;
    }
    return reserve;
}

} // namespace sardinehollow::policy
