#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <optional>

namespace sardinehollow::routing {

/**
 * The rate of requests that a server accepts from all daemons together, and this daemon's permits
 * for its share of it. Permits come evenly spread; one may be left over when the next one comes,
 * and if none is used for a few seconds, they expire. Not safe for concurrent use.
 */
class ServerRateLimit
{
public:
    /** The seed spreads the permits of different daemons; it must differ between them. */
    explicit ServerRateLimit(std::uint64_t seed = 0);

    /** Applies the limit of a response, in requests per second. */
    void set(double requestsPerSecond);
    /** Ends the limit. */
    void clear();
    bool isActive() const { return m_isActive; }
    /** The limit in requests per second; without meaning while it is not active. */
    double requestsPerSecond() const { return m_requestsPerSecond; }

    /** Sets this daemon's share of the limit; above 0, at most 1. */
    void setShare(double share) { m_share = share; }
    /** Whether a share has been set for the present limit. */
    bool hasShare() const { return m_share.has_value(); }
    /** When a request may be sent; at once while there is no limit. */
    core::Instant permitAt(core::Instant now);
    /** Takes the permit for a request that is sent, if there is a limit. */
    void take(core::Instant now);

private:
    /** Time between two permits of this daemon. */
    core::Duration interval() const;
    /** Returns a random time within one interval from now. */
    core::Instant spreadTime(core::Instant now) const;

    const std::uint64_t m_seed;
    bool m_isActive = false;
    double m_requestsPerSecond = 0;
    std::optional<double> m_share;
    /** Empty until the first use of the limit, when the share is known. */
    std::optional<core::Instant> m_nextPermitAt;
};

} // namespace sardinehollow::routing
