#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::core {

/** A token bucket: permits accrue at a rate up to a capacity. Not safe for concurrent use. */
class TokenBucket
{
public:
    /** Starts full; the rate is in permits per second. */
    TokenBucket(double rate, double capacity);

    /** Changes the rate and the capacity; permits above the new capacity are discarded. */
    void setLimits(double rate, double capacity);
    /** Whether at least one permit is available. */
    bool hasPermit(Instant now);
    /** Takes one permit; returns false without effect if none is available. */
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
