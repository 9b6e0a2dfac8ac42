#pragma once

#include "sardinehollow_routing/configuration/Route.h"
#include "sardinehollow_routing/selection/Selection.h"
#include "sardinehollow_routing/selection/SelectionSettings.h"
#include "sardinehollow_routing/selection/SpillRamp.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/**
 * Chooses backend servers by weighted rendezvous hashing of the object that a request concerns, so
 * that all daemons send an object to the same servers without talking to each other.
 */
class ServerSelector
{
public:
    ServerSelector(const BackendRegistry &registry, SelectionSettings settings);

    /** Sets how many daemons send to the servers of the own region. */
    void setSenders(std::size_t count) { m_senders = count; }

    /** The tried servers of an earlier attempt are left out; any other with room may follow. */
    Selection choose(const Route &route, const std::string &service, std::uint64_t objectHash,
                     const std::set<std::string> &tried, core::Instant now);

private:
    struct Candidate
    {
        BackendStatePtr server;
        double score = 0;
        bool isNear = false;
        /** Preferred for being in the own failure domain. */
        bool isInDomain = false;
    };

    /** The servers that may be used now, in order. */
    struct Usable
    {
        std::vector<Candidate> preferred;
        /** Cold servers of a region that has warm ones: all that they run is slow. */
        std::vector<Candidate> cold;
    };

    /** Tells the servers of the own region what load this daemon's requests suggest. */
    void spreadPeerLoad(const Route &route, const std::vector<Candidate> &ranked) const;
    std::vector<Candidate> candidates(const Route &route, const std::string &service,
                                      std::uint64_t objectHash,
                                      const std::set<std::string> &tried) const;
    bool mayRun(const Route &route, const BackendState &server) const;
    /** Leaves out servers that failed lately and cold ones that bear nothing more now. */
    Usable usable(const std::vector<Candidate> &ranked, core::Instant now) const;
    Selection pickHome(const Route &route, const std::string &service, std::uint64_t objectHash,
                       const Usable &servers, core::Instant now);
    Selection pickAny(const Route &route, const Usable &servers, core::Instant now) const;
    /** The first server with room, or null. */
    BackendStatePtr firstWithRoom(const Route &route, const std::vector<Candidate> &ranked,
                                  core::Instant now) const;
    /** Whether a request sent to the server now would most likely be answered in time. */
    bool hasRoom(const Route &route, const BackendState &server, core::Instant now) const;

    const BackendRegistry &m_registry;
    const SelectionSettings m_settings;
    std::size_t m_senders = 1;
    /** By service. */
    std::map<std::string, SpillRamp> m_ramps;
};

} // namespace sardinehollow::routing
