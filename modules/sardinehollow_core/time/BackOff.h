#pragma once

#include "sardinehollow_core/random/RandomSource.h"
#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::core {

/**
 * Exponential back-off with jitter between retries of a failing call. The upper limit of the delay
 * doubles with each failure up to a maximum, and each delay is drawn from the upper half of its
 * limit, so that the retries of many callers do not coincide. Not safe for concurrent use.
 */
class BackOff
{
public:
    /** The first limit must be above 0 and not above the maximum. */
    BackOff(RandomSource &random, Duration first, Duration maximum);

    /** Returns the delay before the next retry. */
    Duration next();
    /** Returns to the first limit; called after a success. */
    void reset() { m_ceiling = m_first; }

private:
    RandomSource &m_random;
    const Duration m_first;
    const Duration m_maximum;
    Duration m_ceiling;
};

} // namespace sardinehollow::core
