#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sardinehollow::policy {

/**
 * Divides the slots of a shard between ranks: strict urgency, but each rank with waiting requests
 * gets its floor share first, and ranks with long runs leave room for more urgent work.
 */
class RankScheduler
{
public:
    struct Rank
    {
        double floorShare = 0.0;
        core::Duration latencyTarget {0};
        std::uint32_t inFlight = 0;
        std::uint32_t queued = 0;
        /** Longest mean service time of the rank's kinds. */
        core::Duration serviceTime {0};
        /** Slot-seconds that the rank received less than its floor while it had requests waiting.
         */
        double owed = 0.0;
        /** Slots in use, smoothed; for estimates of waiting time. */
        double smoothedInFlight = 0.0;
        /** Slots that the rank could use, smoothed. */
        double recentDemand = 0.0;
    };

    /** The headroom is in standard deviations of Poisson demand; negative for no reserve. */
    explicit RankScheduler(double urgentHeadroom)
        : m_urgentHeadroom(urgentHeadroom)
    { }

    std::vector<Rank> &ranks() { return m_ranks; }
    const std::vector<Rank> &ranks() const { return m_ranks; }
    void setSlots(std::uint32_t slots) { m_slots = slots; }
    std::uint32_t slots() const { return m_slots; }
    double floorSlots(std::size_t rank) const;

    /** Accounts for the time since the last call. */
    void advance(core::Instant now);
    /** Whether the rank has received less than its floor share. */
    bool isBelowFloor(std::size_t rank) const;
    /** Whether another lower rank waits below its floor, so that a free slot is its own. */
    bool owesOthers(std::size_t rank) const;
    /** Whether a request of the rank may take one of this many free slots now. */
    bool mayStart(std::size_t rank, std::uint32_t freeSlots) const;
    /** Slots that a request of the rank has to leave free for more urgent ones. */
    double reserveAgainst(std::size_t rank) const;
    /** Ranks in the order in which they are served now. */
    std::vector<std::size_t> order() const;
    /** Returns the time until the last of the rank's waiting requests can start. */
    core::Duration waitingTime(std::size_t rank, std::size_t waiting) const;

private:
    double m_urgentHeadroom;
    std::vector<Rank> m_ranks;
    std::uint32_t m_slots = 0;
    core::Instant m_advanced {0};
};

} // namespace sardinehollow::policy
