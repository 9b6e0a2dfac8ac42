#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::routing {

/** Share of recent events that have a property; an event's weight decays exponentially with age. */
class RecentShare
{
public:
    void add(bool hasProperty, core::Instant now);
    /** Returns the number of recent events, weighted by age. */
    double count(core::Instant now) const;
    /**
     * Returns the share; 0 to 1. The prior is a number of events without the property that are
     * added, so that a few events do not make a large share.
     */
    double share(core::Instant now, double prior) const;
    /** Time of the last event. */
    core::Instant lastAt() const { return m_lastAt; }

private:
    static double decay(core::Duration age);

    double m_count = 0;
    double m_withProperty = 0;
    core::Instant m_lastAt {0};
};

} // namespace sardinehollow::routing
