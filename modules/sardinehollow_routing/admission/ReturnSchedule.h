#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>

namespace sardinehollow::routing {

/**
 * Spreads the Retry-After of refusals over a span that grows with the share of refusals, so that
 * refused requests do not return together. Not safe for concurrent use.
 */
class ReturnSchedule
{
public:
    /** Shortest Retry-After: about the service time of a request at the present deployments. */
    static constexpr core::Duration shortest = std::chrono::milliseconds(300);

    /** The seed differs between daemons, which otherwise would ask for the same times. */
    explicit ReturnSchedule(std::uint64_t seed);

    /**
     * Returns the next Retry-After. It lies in the part of the span that begins at the given
     * fraction and has the given width, both 0 to 1; at most a third of the time left, which is how
     * long a caller waits.
     */
    core::Duration next(double refusedShare, double fraction, double width,
                        core::Duration timeLeft);

private:
    /** Position in the part of the span; 0 to 1. */
    double m_position;
};

} // namespace sardinehollow::routing
