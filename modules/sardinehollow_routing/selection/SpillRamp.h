#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>

namespace sardinehollow::routing {

/**
 * Bounds how fast the share of requests that leave the own region changes, so that the other
 * regions and the links between them meet no sudden moves. Not safe for concurrent use.
 */
class SpillRamp
{
public:
    enum class Advice {
        /** The request runs in the own region, or not at all. */
        Stay,
        /** The request goes where it would go without the ramp. */
        Free,
        /** The request goes to another region if one has room. */
        Leave,
    };

    /** Largest change of the share in a second; 0 to 1. */
    explicit SpillRamp(double changePerSecond);

    /** Notes a request that would leave its region, or not, and advises on it. */
    Advice advise(bool wantsToLeave, core::Instant now);
    /** Notes where the request went. */
    void onSent(bool hasLeft, core::Instant now);

    /** Share that is allowed at present. */
    double level() const { return m_level; }

private:
    void follow(core::Instant now);

    const double m_changePerSecond;
    double m_wanted = 0;
    double m_sent = 0;
    double m_level = 0;
    std::uint64_t m_settlingSent = 0;
    std::uint64_t m_settlingLeft = 0;
    core::Instant m_firstAt {0};
    core::Instant m_advisedAt {0};
    core::Instant m_sentAt {0};
};

} // namespace sardinehollow::routing
