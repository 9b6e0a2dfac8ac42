#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/admission/AdmissionOutcome.h"
#include "sardinehollow_routing/admission/LoadLimits.h"
#include "sardinehollow_routing/admission/RankStatus.h"
#include "sardinehollow_routing/admission/RecentShare.h"
#include "sardinehollow_routing/admission/ReturnSchedule.h"
#include "sardinehollow_routing/admission/TeamShares.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/**
 * Limits the load up to which backend servers take requests, by service and rank. Less urgent ranks
 * leave room for more urgent ones while these are refused or late, but keep a minimum. Within a
 * rank, teams that send more than their fair part are refused first. Not safe for concurrent use.
 */
class RankAdmission
{
public:
    /**
     * Takes the limits of a rank for which nothing is reserved, the largest share of a server's
     * slots that may be reserved (0 to 1), and a seed for Retry-After.
     */
    RankAdmission(LoadLimits unrestricted, double reservedSlotShare, std::uint64_t seed = 0);

    /** Limits of a rank for which nothing is reserved. */
    const LoadLimits &unrestricted() const { return m_unrestricted; }
    /** Returns the limits for a request; the team is the hash of its name, if it has one. */
    LoadLimits limitsFor(const std::string &service, int rank, std::optional<std::uint64_t> team,
                         core::Instant now) const;
    /** Records that a server was selected for a request's first attempt. */
    void onAdmitted(const std::string &service, int rank);
    /** Records the end of a request, and adapts the limits. */
    void onOutcome(const std::string &service, int rank, std::optional<std::uint64_t> team,
                   AdmissionOutcome outcome, core::Instant now);
    /** Returns the Retry-After of a request that is refused now and has this much time left. */
    core::Duration retryAfter(const std::string &service, int rank, core::Duration timeLeft,
                              core::Instant now);

    /** Returns the state of all ranks of services with recent requests of several ranks. */
    std::vector<RankStatus> status(core::Instant now) const;
    /** Returns the ranks whose limits have changed since they were last returned, for the log. */
    std::vector<RankStatus> takeChanges(core::Instant now);

private:
    struct Rank
    {
        /** Requests that were refused or late. */
        RecentShare unserved;
        TeamShares teams;
        double reserve = 0;
        /** Number of requests that are still to be admitted with unrestricted limits. */
        double minimumDebt = 0;
        double reportedReserve = 0;
        core::Instant reportedAt {0};
    };

    struct Service
    {
        /** Requests of all ranks that were refused. */
        RecentShare refused;
        /** By rank; the most urgent first. */
        std::map<int, Rank> ranks;
        core::Instant adaptedAt {0};
    };

    static bool isActive(const Rank &rank, core::Instant now);
    /** Whether the service has recent requests of a more urgent rank. */
    static bool hasMoreUrgent(const Service &service, int rank, core::Instant now);
    /** Moves the reserves of all ranks by one bounded step. */
    static void adapt(Service &service, core::Instant now);
    LoadLimits limitsAt(double reserve) const;

    const LoadLimits m_unrestricted;
    /** Load per slot below which requests of any rank are taken. */
    const double m_lowestLimit;
    std::map<std::string, Service> m_services;
    ReturnSchedule m_returns;
};

} // namespace sardinehollow::routing
