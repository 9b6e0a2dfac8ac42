#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::core {

/** Permits that grow at a rate up to a capacity. Not safe for concurrent use. */
class TokenBucket
{
public:
    /** Starts full; the rate is in permits a second. */
    TokenBucket(double rate, double capacity);

    void setLimits(double rate, double capacity);
    /** Whether a whole permit is left. */
    bool hasPermit(Instant now);
    /** Takes one permit; returns false without effect if none is left. */
    bool take(Instant now);
    /** Adds permits up to the capacity. */
    void add(double permits);

private:
    void refill(Instant now);

    double m_rate;
    double m_capacity;
    double m_permits;
    Instant m_refilledAt {0};
};

} // namespace sardinehollow::core
