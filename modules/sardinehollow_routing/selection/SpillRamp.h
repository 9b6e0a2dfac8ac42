#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/selection/SpillTarget.h"

#include <optional>

namespace sardinehollow::routing {

/**
 * Controls which share of a service's objects spills over to other regions because the daemon's
 * region lacks capacity. The share changes slowly, so that other regions and the links between them
 * see no sudden load, and servers keep serving the same objects. Not safe for concurrent use.
 */
class SpillRamp
{
public:
    /** The level to begin with, for a region that is known to lack servers; 0 to 1. */
    explicit SpillRamp(double plannedLevel = 0);

    /**
     * Sets the target that the level approaches, by measured demand; without one, the level follows
     * the requests for which the region had no capacity.
     */
    void setTarget(std::optional<SpillTarget> target) { m_target = target; }
    std::optional<double> targetLevel() const
    {
        return m_target ? std::optional(m_target->level) : std::nullopt;
    }
    /** Updates and returns the level: the share of objects that spill over; 0 to 1. */
    double level(core::Instant now);
    /** Records whether the region had capacity for a request that is not spilled by the level. */
    void recordCapacity(bool hadRoom, core::Instant now);
    /** Whether a request for an object within the level may be spilled. */
    bool maySpillWithinLevel(core::Instant now) const;
    /** Whether a request for an object beyond the level may be spilled as well. */
    bool maySpillBeyondLevel() const;
    /** Records whether a request was spilled; updates the credit, or the level while settling. */
    void recordRequest(bool hasSpilled, core::Instant now);

private:
    /** Whether the initial period without a limit is still running. */
    bool isSettling(core::Instant now) const;

    /** Changes the level by the requests for which the region had no capacity. */
    void followOverflow(double overflow, core::Duration elapsed);

    std::optional<SpillTarget> m_target;
    double m_plannedLevel = 0;
    double m_level = 0;
    /** Moving average of the share of requests for which the region had no capacity. */
    double m_overflowShare = 0;
    /** Number of requests that may still be spilled; negative after too many. */
    double m_spillCredit = 0;
    double m_settlingRequests = 0;
    double m_settlingSpilled = 0;
    core::Instant m_firstAt {0};
    core::Instant m_levelAt {0};
    core::Instant m_observedAt {0};
};

} // namespace sardinehollow::routing
