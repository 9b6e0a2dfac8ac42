#pragma once

#include "sardinehollow_routing/admission/RankAdmission.h"
#include "sardinehollow_routing/configuration/RequestScope.h"
#include "sardinehollow_routing/selection/EvenLoad.h"
#include "sardinehollow_routing/selection/MeasuredDemand.h"
#include "sardinehollow_routing/selection/Selection.h"
#include "sardinehollow_routing/selection/SelectionSettings.h"
#include "sardinehollow_routing/selection/SpillPlan.h"
#include "sardinehollow_routing/selection/SpillRamp.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/**
 * Selects backend servers by weighted rendezvous hashing of the object that a request concerns, so
 * that the daemons of a region prefer the same servers for an object without coordination. For
 * large responses, only the daemons of a failure domain do.
 */
class ServerSelector
{
public:
    /** The seed differs between daemons; see ReturnSchedule. */
    ServerSelector(const BackendRegistry &registry, SelectionSettings settings,
                   std::uint64_t daemonSeed = 0);

    /**
     * Sets the number of daemons that send to the servers of this daemon's region. The count is
     * also used for the candidates in other regions.
     */
    void setSenderCount(std::size_t count) { m_senderCount = count; }
    /** Limits by rank, which the selection of servers keeps to. */
    RankAdmission &admission() { return m_admission; }
    const RankAdmission &admission() const { return m_admission; }
    /** Sets the shares of the requests that are expected at this daemon's region and domain. */
    void setDemandShares(DemandShares shares) { m_demandShares = shares; }

    /** Applies the demand over all daemons as measured; it is used for 3 s. */
    void applyDemand(const DemandView &view, core::Instant now)
    {
        m_measuredDemand.apply(view, m_registry, now);
    }

    /**
     * Selects a server for one attempt. Servers tried by earlier attempts are excluded; a retry may
     * use any other server with capacity.
     */
    Selection choose(const RequestScope &scope, const std::string &service,
                     std::uint64_t objectHash, const std::set<std::string> &tried,
                     core::Instant now);

private:
    struct Candidate
    {
        BackendStatePtr server;
        /** Weighted rendezvous score; higher is preferred. */
        double score = 0;
        /** Whether the server is in the daemon's region. */
        bool isNear = false;
        /** Whether the response is large and the server is in the daemon's failure domain. */
        bool prefersOwnDomain = false;
        /** Position among the candidates of the same region or regions. */
        std::size_t rank = 0;
    };

    /** Which part of a service's requests goes to other regions. */
    struct ServiceSpill
    {
        SpillRamp ramp;
        /** Upper limit of the level for large responses. */
        double largeResponseLevel = 0;
        /** The same by plan, without measured demand. */
        double plannedLargeResponseLevel = 0;
        core::Instant updatedAt {0};
    };

    /** The servers that may be used now, in order of preference. */
    struct UsableServers
    {
        std::vector<Candidate> preferred;
        /** Cold servers of a region that also has warm ones; used last because they are slow. */
        std::vector<Candidate> cold;
        /** Mean predicted load per slot in the daemon's region, if the load is evened out. */
        std::optional<double> meanLoad = std::nullopt;
    };

    /**
     * Sets the initial service time and the sender count of the candidates. For servers in the
     * daemon's region, also sets the load, extrapolated from this daemon's own requests; for those
     * of a region whose load has been measured, the mean load.
     */
    void updateLoadEstimates(const RequestScope &scope, const std::string &service,
                             const std::vector<Candidate> &ranked, core::Instant now) const;
    std::vector<Candidate> rankCandidates(const RequestScope &scope, const std::string &service,
                                          std::uint64_t objectHash,
                                          const std::set<std::string> &tried) const;
    /**
     * Returns how long no server takes a request of this daemon, by their pauses and request
     * limits; not above 0 if one does.
     */
    static core::Duration shortestWait(const std::vector<Candidate> &ranked, core::Instant now);
    bool isEligible(const RequestScope &scope, const BackendState &server) const;
    /**
     * Excludes servers that take no request of this daemon now, by their pauses and request limits
     * or because they are cold, and avoided servers unless all servers are avoided.
     */
    UsableServers filterUsable(const std::vector<Candidate> &ranked, core::Instant now) const;
    /** Moves the servers to use to the front of those of this region and of other regions. */
    void evenOut(const Route &route, const std::string &service, UsableServers &servers,
                 core::Instant now);
    Selection selectHome(const RequestScope &scope, const std::string &service,
                         std::uint64_t objectHash, const UsableServers &servers, core::Instant now);
    /**
     * Returns a server of the daemon's region with capacity if the region is measured to have some,
     * or null: an object that is not cached there costs less than a refusal.
     */
    BackendStatePtr otherInRegion(const RequestScope &scope, const std::string &service,
                                  const UsableServers &servers, core::Instant now) const;
    Selection selectAny(const RequestScope &scope, const UsableServers &servers,
                        core::Instant now) const;
    /** Returns the first server with capacity, or null. */
    BackendStatePtr firstWithCapacity(const RequestScope &scope,
                                      const std::vector<Candidate> &ranked,
                                      core::Instant now) const;
    /**
     * Whether the server has capacity by the limits of the request's rank: its load per slot is
     * below the unconditional limit, or it is below the maximum and the expected latency is within
     * the permitted share of the objective.
     */
    bool hasCapacity(const RequestScope &scope, const BackendState &server,
                     core::Instant now) const;
    bool hasCapacity(const RequestScope &scope, const BackendState &server,
                     const LoadLimits &limits, core::Instant now) const;

    const BackendRegistry &m_registry;
    const SelectionSettings m_settings;
    RankAdmission m_admission;
    /** Returns the spill of a service with its target; a new one begins with the planned levels. */
    ServiceSpill &spillOf(const std::string &service, const UsableServers &servers,
                          core::Instant now);
    /** Returns a new spill, planned by the shares of the region in requests and slots. */
    ServiceSpill plannedSpillOf(const UsableServers &servers) const;

    std::size_t m_senderCount = 1;
    DemandShares m_demandShares;
    MeasuredDemand m_measuredDemand;
    std::map<std::string, ServiceSpill> m_spills;
    /** By service. */
    std::map<std::string, EvenLoad> m_evenLoads;
};

} // namespace sardinehollow::routing
