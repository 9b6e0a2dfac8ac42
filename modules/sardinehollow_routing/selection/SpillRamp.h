#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::routing {

/**
 * Finds the share of a service's objects that the own region cannot serve, and moves it slowly, so
 * that other regions and the links between them meet no sudden moves, and servers keep to the same
 * objects. Not safe for concurrent use.
 */
class SpillRamp
{
public:
    /** Share of the objects whose requests go to other regions; 0 to 1. */
    double level(core::Instant now);
    /** Notes whether the region had room for a request for one of the other objects. */
    void observe(bool hadRoom, core::Instant now);
    /** Whether a request for one of the objects within the level may leave the region. */
    bool mayFollowLevel(core::Instant now) const;
    /** Whether a request beyond the level may leave the region as well. */
    bool mayOverflow() const;
    /** Notes where a request went. */
    void onSent(bool hasLeft, core::Instant now);

private:
    bool isSettling(core::Instant now) const;

    double m_level = 0;
    /** Average share of requests for which the region had no room. */
    double m_overflow = 0;
    /** Requests that may still leave the region beyond the level. */
    double m_allowance = 0;
    double m_settlingSent = 0;
    double m_settlingLeft = 0;
    core::Instant m_firstAt {0};
    core::Instant m_levelAt {0};
    core::Instant m_observedAt {0};
};

} // namespace sardinehollow::routing
