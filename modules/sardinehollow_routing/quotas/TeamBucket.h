#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/configuration/TeamQuota.h"
#include "sardinehollow_routing/quotas/RateMeter.h"
#include "sardinehollow_routing/quotas/UsageDelta.h"

namespace sardinehollow::routing {

/**
 * Token bucket of a team over all daemons, and the share of its requests that may be admitted.
 * The level may be negative: what ran beyond the quota is repaid. Not safe for concurrent use.
 */
class TeamBucket
{
public:
    /** Starts nearly empty. */
    TeamBucket(const TeamQuota &quota, core::Instant now);

    const TeamQuota &quota() const { return m_quota; }
    void setQuota(const TeamQuota &quota);
    /** Sets what other daemons may use unseen, in requests per second. */
    void setReserved(double ratePerSecond, core::Instant now);
    /** Counts requests of daemons; the charge is what is taken from the bucket. */
    void add(const UsageDelta &delta, double charge, core::Instant now);
    /** Returns the share of the requests to admit; 0 to 1. */
    double factor(core::Instant now);

private:
    void refill(core::Instant now);
    /** Returns the requests per second that would run if all of them passed the quota check. */
    double demand(core::Instant now) const;

    TeamQuota m_quota;
    double m_level;
    double m_reserved = 0;
    core::Instant m_startedAt;
    core::Instant m_refilledAt;
    RateMeter m_requested;
    RateMeter m_passed;
    RateMeter m_charged;
};

} // namespace sardinehollow::routing
