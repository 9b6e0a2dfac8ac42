#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::routing {

/** Exponential moving average of a rate of events. Not safe for concurrent use. */
class RateMeter
{
public:
    explicit RateMeter(core::Duration averagingTime = std::chrono::seconds(1));

    /** Records a number of events; negative if earlier ones are withdrawn. */
    void add(double events, core::Instant now);
    /** Returns the number of events per second. */
    double rate(core::Instant now) const;

private:
    double m_averagingSeconds;
    double m_rate = 0;
    core::Instant m_at {0};
};

} // namespace sardinehollow::routing
