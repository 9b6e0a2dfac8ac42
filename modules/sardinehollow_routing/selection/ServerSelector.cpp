#include "sardinehollow_routing/selection/ServerSelector.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

namespace {

// Makes the choice of the objects that leave a region independent of the choice of their servers.
constexpr std::uint64_t spillSalt = 0x5b1d;
// Part of the objective that a run is expected to take before the first response of a server.
constexpr double expectedShare = 0.5;
// Servers of the own failure domain from which on large responses stay in it.
constexpr std::size_t fewestDomainServers = 2;
// Keeps the logarithm of the rendezvous score finite.
constexpr double smallestUnit = 1e-12;

double rendezvousScore(std::uint64_t objectHash, const BackendState &server)
{
    const double unit = std::max(core::hashToUnit(core::combineHashes(objectHash, server.hash())),
                                 smallestUnit);
    return static_cast<double>(server.server().slots) / -std::log(unit);
}

} // namespace

ServerSelector::ServerSelector(const BackendRegistry &registry, SelectionSettings settings)
    : m_registry(registry)
    , m_settings(std::move(settings))
{ }

Selection ServerSelector::choose(const Route &route, const std::string &service,
                                 std::uint64_t objectHash, const std::set<std::string> &tried,
                                 core::Instant now)
{
    const std::vector<Candidate> ranked = candidates(route, service, objectHash, tried);
    if (ranked.empty())
        return {nullptr, SelectionReason::NoServer, {}};
    spreadPeerLoad(route, ranked);
    const Usable servers = usable(ranked, now);
    return tried.empty() ? pickHome(route, service, objectHash, servers, now)
                         : pickAny(route, servers, now);
}

void ServerSelector::spreadPeerLoad(const Route &route, const std::vector<Candidate> &ranked) const
{
    double inFlight = 0;
    double count = 0;
    for (const Candidate &candidate : ranked) {
        candidate.server->setExpectedRunTime(
                std::chrono::duration_cast<core::Duration>(route.latencyObjective * expectedShare));
        if (!candidate.isNear)
            continue;
        inFlight += candidate.server->inFlight();
        count += 1;
    }
    for (const Candidate &candidate : ranked) {
        candidate.server->setSenders(m_senders);
        if (candidate.isNear)
            candidate.server->setPeerLoad(inFlight * static_cast<double>(m_senders) / count);
    }
}

std::vector<ServerSelector::Candidate>
ServerSelector::candidates(const Route &route, const std::string &service, std::uint64_t objectHash,
                           const std::set<std::string> &tried) const
{
    std::vector<Candidate> ranked;
    std::size_t inDomain = 0;
    for (const BackendStatePtr &server : m_registry.servers(service)) {
        if (!mayRun(route, *server) || tried.count(server->server().id) > 0)
            continue;
        // Large responses cost more on their way between failure domains than the run of a request
        // on a server that does not know its object yet.
        const bool isInDomain
                = route.isBulk && server->server().failureDomain == m_settings.failureDomain;
        ranked.push_back({server, rendezvousScore(objectHash, *server),
                          server->region() == m_settings.region, isInDomain});
        inDomain += isInDomain ? 1 : 0;
    }
    // A server alone would get all objects of its failure domain, more than it remembers.
    const bool isDomainPreferred = inDomain >= fewestDomainServers;
    const auto isBefore = [&](const Candidate &first, const Candidate &second) {
        if (first.isNear != second.isNear)
            return first.isNear;
        if (isDomainPreferred && first.isInDomain != second.isInDomain)
            return first.isInDomain;
        return first.score > second.score;
    };
    std::sort(ranked.begin(), ranked.end(), isBefore);
    return ranked;
}

bool ServerSelector::mayRun(const Route &route, const BackendState &server) const
{
    if (server.server().isDraining || m_registry.isEvacuated(server.server().failureDomain))
        return false;
    const std::vector<std::string> &homes = route.homeRegions;
    return homes.empty() || std::find(homes.begin(), homes.end(), server.region()) != homes.end();
}

ServerSelector::Usable ServerSelector::usable(const std::vector<Candidate> &ranked,
                                              core::Instant now) const
{
    const bool areAllAvoided
            = std::all_of(ranked.begin(), ranked.end(), [now](const Candidate &candidate) {
                  return candidate.server->isAvoided(now);
              });
    Usable servers;
    bool hasWarmNear = false;
    bool hasWarmFar = false;
    for (const Candidate &candidate : ranked) {
        BackendState &server = *candidate.server;
        if (!areAllAvoided && server.isAvoided(now))
            continue;
        // A cold server that has no permit left counts as absent: its objects go to the next one.
        if (server.isCold(now) && !server.coldPermits().hasPermit(now))
            continue;
        servers.preferred.push_back(candidate);
        if (!server.isCold(now))
            (candidate.isNear ? hasWarmNear : hasWarmFar) = true;
    }
    // Objects stay with their warm servers until the cold one that takes them over is warm.
    const auto firstCold = std::stable_partition(
            servers.preferred.begin(), servers.preferred.end(), [&](const Candidate &candidate) {
                return !candidate.server->isCold(now)
                        || !(candidate.isNear ? hasWarmNear : hasWarmFar);
            });
    servers.cold.assign(firstCold, servers.preferred.end());
    servers.preferred.erase(firstCold, servers.preferred.end());
    return servers;
}

Selection ServerSelector::pickHome(const Route &route, const std::string &service,
                                   std::uint64_t objectHash, const Usable &servers,
                                   core::Instant now)
{
    BackendStatePtr near;
    BackendStatePtr far;
    SelectionInputs inputs;
    bool hasNear = false;
    bool hasFar = false;
    std::size_t nearSeen = 0;
    std::size_t farSeen = 0;
    for (const Candidate &candidate : servers.preferred) {
        std::size_t &seen = candidate.isNear ? nearSeen : farSeen;
        if (++seen > (candidate.isNear ? m_settings.nearHomes : m_settings.farHomes))
            continue;
        (candidate.isNear ? hasNear : hasFar) = true;
        HomeState &home = candidate.isNear ? inputs.near : inputs.far;
        if (home.server.empty())
            home = {candidate.server->server().id, candidate.server->load(now),
                    candidate.server->reportAge(now)};
        BackendStatePtr &chosen = candidate.isNear ? near : far;
        if (!chosen && hasRoom(route, *candidate.server, now))
            chosen = candidate.server;
    }
    bool prefersFar = false;
    bool isMoveLimited = false;
    // Without a choice between regions there is no move to slow down.
    if (hasNear && hasFar) {
        SpillRamp &ramp = m_ramps[service];
        const double position = core::hashToUnit(core::combineHashes(objectHash, spillSalt));
        inputs.spillLevel = ramp.level(now);
        prefersFar = position < inputs.spillLevel && !route.isBulk && ramp.mayFollowLevel(now);
        if (!prefersFar)
            ramp.observe(near != nullptr, now);
        isMoveLimited = far && !prefersFar && !near && !ramp.mayOverflow();
        if (isMoveLimited)
            far = nullptr;
        if (near || far)
            ramp.onSent(!near || (prefersFar && far), now);
    }
    if (far && (prefersFar || !near))
        return {far, SelectionReason::FarHome, inputs};
    if (near)
        return {near, SelectionReason::NearHome, inputs};
    // A late answer is better than none.
    if (const BackendStatePtr cold = firstWithRoom(route, servers.cold, now))
        return {cold, SelectionReason::Alternative, inputs};
    return {nullptr, isMoveLimited ? SelectionReason::MoveLimited : SelectionReason::Overloaded,
            inputs};
}

Selection ServerSelector::pickAny(const Route &route, const Usable &servers,
                                  core::Instant now) const
{
    for (const std::vector<Candidate> *ranked : {&servers.preferred, &servers.cold}) {
        if (const BackendStatePtr server = firstWithRoom(route, *ranked, now))
            return {server, SelectionReason::Alternative, {}};
    }
    return {nullptr, SelectionReason::Overloaded, {}};
}

BackendStatePtr ServerSelector::firstWithRoom(const Route &route,
                                              const std::vector<Candidate> &ranked,
                                              core::Instant now) const
{
    const auto found = std::find_if(ranked.begin(), ranked.end(), [&](const Candidate &candidate) {
        return hasRoom(route, *candidate.server, now);
    });
    return found == ranked.end() ? nullptr : found->server;
}

bool ServerSelector::hasRoom(const Route &route, const BackendState &server,
                             core::Instant now) const
{
    const double load = server.load(now) / server.server().slots;
    if (load < m_settings.smallestLoadLimit)
        return true;
    return load < m_settings.largestLoadLimit
            && server.expectedLatency(now) < route.latencyObjective * m_settings.objectiveShare;
}

} // namespace sardinehollow::routing
