#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sardinehollow::policy {

/**
 * Divides the slots of a shard between ranks by strict priority, with two exceptions: a rank with
 * queued requests first gets its guaranteed share (floor), and ranks with long service times leave
 * slots free for more urgent ones. Rank 0 is the most urgent.
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
        /** Longest mean service time of the work kinds in the rank. */
        core::Duration serviceTime {0};
        /**
         * Slot-seconds by which the rank stayed below its floor while requests were queued;
         * negative if it was above its floor.
         */
        double floorDeficit = 0.0;
        /** Smoothed number of slots in use, for estimates of waiting time. */
        double smoothedInFlight = 0.0;
        /** Smoothed demand for slots: running and queued requests, at most all slots. */
        double recentDemand = 0.0;
    };

    /** Headroom in standard deviations of Poisson demand; a negative value disables the reserve. */
    explicit RankScheduler(double urgentHeadroom)
        : m_urgentHeadroom(urgentHeadroom)
    { }

    std::vector<Rank> &ranks() { return m_ranks; }
    const std::vector<Rank> &ranks() const { return m_ranks; }
    void setSlots(std::uint32_t slots) { m_slots = slots; }
    std::uint32_t slots() const { return m_slots; }
    /** Returns the slots that the floor share of the rank amounts to. */
    double floorSlots(std::size_t rank) const;

    /** Updates averages and floor deficits for the time since the last call. */
    void advance(core::Instant now);
    /** Whether the rank has received less than its floor share. */
    bool isBelowFloor(std::size_t rank) const;
    /**
     * Whether a different rank than the given one has queued requests and is below its floor, so
     * that a free slot belongs to it.
     */
    bool owesSlotToOtherRank(std::size_t rank) const;
    /** Whether a request of the rank may start now, given the number of free slots. */
    bool mayStart(std::size_t rank, std::uint32_t freeSlots) const;
    /** Returns the slots that requests of the rank must leave free for more urgent ranks. */
    double reservedSlots(std::size_t rank) const;
    /** Returns the ranks in the order in which they are served now. */
    std::vector<std::size_t> servingOrder() const;
    /** Returns the estimated time until the last of this many waiting requests can start. */
    core::Duration estimatedWait(std::size_t rank, std::size_t waiting) const;

private:
    double m_urgentHeadroom;
    std::vector<Rank> m_ranks;
    std::uint32_t m_slots = 0;
    core::Instant m_advancedAt {0};
};

} // namespace sardinehollow::policy
