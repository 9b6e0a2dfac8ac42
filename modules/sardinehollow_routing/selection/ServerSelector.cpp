#include "sardinehollow_routing/selection/ServerSelector.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

namespace {

// Makes the choice of the objects that spill over independent of the choice of their servers.
constexpr std::uint64_t spillSalt = 0x5b1d;
// Share of the latency objective that is assumed as service time until a server's first response.
constexpr double initialServiceTimeShare = 0.5;
// Number of servers in the daemon's failure domain from which large responses stay in that domain.
constexpr std::size_t minimumDomainServers = 2;
// Keeps the logarithm of the rendezvous score finite.
constexpr double minimumUnit = 1e-12;

double rendezvousScore(std::uint64_t objectHash, const BackendState &server)
{
    const double unit = std::max(core::hashToUnit(core::combineHashes(objectHash, server.hash())),
                                 minimumUnit);
    return static_cast<double>(server.server().slots) / -std::log(unit);
}

} // namespace

ServerSelector::ServerSelector(const BackendRegistry &registry, SelectionSettings settings,
                               std::uint64_t daemonSeed)
    : m_registry(registry)
    , m_settings(std::move(settings))
    , m_admission({m_settings.unconditionalLoadLimit, m_settings.maximumLoad},
                  m_settings.reservedSlotShare, daemonSeed)
    , m_measuredDemand(m_settings.region)
{ }

Selection ServerSelector::choose(const RequestScope &scope, const std::string &service,
                                 std::uint64_t objectHash, const std::set<std::string> &tried,
                                 core::Instant now)
{
    const std::vector<Candidate> ranked = rankCandidates(scope, service, objectHash, tried);
    if (ranked.empty())
        return {nullptr, SelectionReason::NoServer, {}};
    updateLoadEstimates(scope, service, ranked, now);
    if (const core::Duration wait = shortestWait(ranked, now); wait.count() > 0)
        return {nullptr, SelectionReason::NoPermit, {}, wait};
    UsableServers servers = filterUsable(ranked, now);
    if (m_settings.evenLoad)
        evenOut(scope.route, service, servers, now);
    return tried.empty() ? selectHome(scope, service, objectHash, servers, now)
                         : selectAny(scope, servers, now);
}

core::Duration ServerSelector::shortestWait(const std::vector<Candidate> &ranked, core::Instant now)
{
    core::Instant first = core::Instant::max();
    for (const Candidate &candidate : ranked)
        first = std::min(first, candidate.server->takesRequestsAt(now));
    return first - now;
}

void ServerSelector::updateLoadEstimates(const RequestScope &scope, const std::string &service,
                                         const std::vector<Candidate> &ranked,
                                         core::Instant now) const
{
    double inFlight = 0;
    double count = 0;
    for (const Candidate &candidate : ranked) {
        candidate.server->setInitialServiceTime(std::chrono::duration_cast<core::Duration>(
                scope.route.latencyObjective * initialServiceTimeShare));
        if (!candidate.isNear)
            continue;
        inFlight += candidate.server->averageInFlight(now);
        count += 1;
    }
    const std::map<std::string, RegionDemand> *demand = m_measuredDemand.ofService(service, now);
    for (const Candidate &candidate : ranked) {
        BackendState &server = *candidate.server;
        server.setSenderCount(m_senderCount);
        const bool isMeasured = demand && demand->contains(server.region());
        if (isMeasured)
            server.setExtrapolatedLoad(demand->at(server.region()).load * server.server().slots);
        else if (candidate.isNear)
            server.setExtrapolatedLoad(inFlight * static_cast<double>(m_senderCount) / count);
        else
            server.setExtrapolatedLoad(0);
    }
}

std::vector<ServerSelector::Candidate>
ServerSelector::rankCandidates(const RequestScope &scope, const std::string &service,
                               std::uint64_t objectHash, const std::set<std::string> &tried) const
{
    std::vector<Candidate> ranked;
    std::size_t domainServers = 0;
    double domainSlots = 0;
    double allSlots = 0;
    for (const BackendStatePtr &server : m_registry.servers(service)) {
        if (!isEligible(scope, *server) || tried.count(server->server().id) > 0)
            continue;
        // Transferring a large response between failure domains costs more than running the request
        // on a server that has not cached its object yet.
        const bool prefersOwnDomain = scope.route.hasLargeResponses
                && server->server().failureDomain == m_settings.failureDomain;
        ranked.push_back({server, rendezvousScore(objectHash, *server),
                          server->region() == m_settings.region, prefersOwnDomain});
        domainServers += prefersOwnDomain ? 1 : 0;
        domainSlots += prefersOwnDomain ? server->server().slots : 0;
        allSlots += server->server().slots;
    }
    // Too few servers would get all objects of their failure domain, more than their caches hold.
    const bool isDomainPreferred = domainServers >= minimumDomainServers
            && hasDomainCapacity(domainSlots / allSlots, m_demandShares.failureDomain);
    const auto isBefore = [&](const Candidate &first, const Candidate &second) {
        if (first.isNear != second.isNear)
            return first.isNear;
        if (isDomainPreferred && first.prefersOwnDomain != second.prefersOwnDomain)
            return first.prefersOwnDomain;
        return first.score > second.score;
    };
    std::sort(ranked.begin(), ranked.end(), isBefore);
    return ranked;
}

bool ServerSelector::isEligible(const RequestScope &scope, const BackendState &server) const
{
    if (server.isLeaving() || m_registry.isEvacuated(server.server().failureDomain))
        return false;
    return scope.allowsRegion(server.region());
}

ServerSelector::UsableServers ServerSelector::filterUsable(const std::vector<Candidate> &ranked,
                                                           core::Instant now) const
{
    const bool areAllAvoided
            = std::all_of(ranked.begin(), ranked.end(), [now](const Candidate &candidate) {
                  return candidate.server->isAvoided(now);
              });
    UsableServers servers;
    bool hasWarmNear = false;
    bool hasWarmFar = false;
    for (const Candidate &candidate : ranked) {
        BackendState &server = *candidate.server;
        if (now < server.takesRequestsAt(now))
            continue;
        if (!areAllAvoided && server.isAvoided(now))
            continue;
        // A cold server without a permit is skipped: its objects go to the next server.
        if (server.isCold(now) && !server.coldPermits().hasPermit(now))
            continue;
        servers.preferred.push_back(candidate);
        if (!server.isCold(now))
            (candidate.isNear ? hasWarmNear : hasWarmFar) = true;
    }
    // Objects stay on their warm servers until the cold server that takes them over is warm.
    const auto firstCold = std::stable_partition(
            servers.preferred.begin(), servers.preferred.end(), [&](const Candidate &candidate) {
                return !candidate.server->isCold(now)
                        || !(candidate.isNear ? hasWarmNear : hasWarmFar);
            });
    servers.cold.assign(firstCold, servers.preferred.end());
    servers.preferred.erase(firstCold, servers.preferred.end());
    return servers;
}

void ServerSelector::evenOut(const Route &route, const std::string &service, UsableServers &servers,
                             core::Instant now)
{
    EvenLoad &evenLoad = m_evenLoads.try_emplace(service, m_settings.failureDomain).first->second;
    const auto begin = servers.preferred.begin();
    const auto end = servers.preferred.end();
    const auto firstFar = std::find_if(
            begin, end, [](const Candidate &candidate) { return !candidate.isNear; });
    for (const auto &[first, last] : {std::pair(begin, firstFar), std::pair(firstFar, end)}) {
        if (first == last)
            continue;
        EvenLoad::Servers states;
        for (auto candidate = first; candidate != last; ++candidate) {
            candidate->rank = states.size();
            states.push_back(candidate->server.get());
        }
        if (first->isNear)
            evenLoad.update(states, now);
        const EvenLoad::Choice choice = evenLoad.choose(states, route, now);
        const auto chosen = first + static_cast<std::ptrdiff_t>(choice.index);
        std::rotate(first, chosen, chosen + 1);
        if (first->isNear)
            servers.meanLoad = choice.meanLoad;
    }
}

Selection ServerSelector::selectHome(const RequestScope &scope, const std::string &service,
                                     std::uint64_t objectHash, const UsableServers &servers,
                                     core::Instant now)
{
    BackendStatePtr near;
    BackendStatePtr far;
    SelectionInputs inputs;
    inputs.meanLoad = servers.meanLoad;
    const std::size_t nearHomes = m_settings.evenLoad ? EvenLoad::homeCount : m_settings.nearHomes;
    const std::size_t farHomes = m_settings.evenLoad ? EvenLoad::homeCount : m_settings.farHomes;
    bool hasNear = false;
    bool hasFar = false;
    bool hasNearRoom = false;
    std::size_t nearSeen = 0;
    std::size_t farSeen = 0;
    for (const Candidate &candidate : servers.preferred) {
        std::size_t &seen = candidate.isNear ? nearSeen : farSeen;
        if (++seen > (candidate.isNear ? nearHomes : farHomes))
            continue;
        (candidate.isNear ? hasNear : hasFar) = true;
        HomeState &home = candidate.isNear ? inputs.near : inputs.far;
        if (home.server.empty())
            home = {candidate.server->server().id, candidate.server->load(now),
                    candidate.server->reportAge(now), candidate.rank};
        BackendStatePtr &chosen = candidate.isNear ? near : far;
        if (!chosen && hasCapacity(scope, *candidate.server, now))
            chosen = candidate.server;
        // Capacity that is reserved for more urgent ranks is no reason to spill the other objects.
        hasNearRoom = hasNearRoom
                || (candidate.isNear
                    && hasCapacity(scope, *candidate.server, m_admission.unrestricted(), now));
    }
    bool prefersFar = false;
    bool isMoveLimited = false;
    // The spill ramp applies only if there are candidates in both regions.
    if (hasNear && hasFar) {
        ServiceSpill &spill = spillOf(service, servers, now);
        SpillRamp &ramp = spill.ramp;
        const double position = core::hashToUnit(core::combineHashes(objectHash, spillSalt));
        inputs.spillLevel = ramp.level(now);
        inputs.spillTarget = ramp.targetLevel();
        const double level = scope.route.hasLargeResponses
                ? std::min(inputs.spillLevel, spill.largeResponseLevel)
                : inputs.spillLevel;
        prefersFar = position < level && ramp.maySpillWithinLevel(now);
        if (!prefersFar)
            ramp.recordCapacity(hasNearRoom, now);
        isMoveLimited = far && !prefersFar && !near && !ramp.maySpillBeyondLevel();
        if (isMoveLimited)
            far = nullptr;
        if (near || far)
            ramp.recordRequest(!near || (prefersFar && far), now);
    }
    if (far && (prefersFar || !near))
        return {far, SelectionReason::FarHome, inputs};
    if (near)
        return {near, SelectionReason::NearHome, inputs};
    if (const BackendStatePtr other = otherInRegion(scope, service, servers, now))
        return {other, SelectionReason::Alternative, inputs};
    // A slow response from a cold server is better than shedding the request.
    if (const BackendStatePtr cold = firstWithCapacity(scope, servers.cold, now))
        return {cold, SelectionReason::Alternative, inputs};
    return {nullptr, isMoveLimited ? SelectionReason::MoveLimited : SelectionReason::Overloaded,
            inputs};
}

ServerSelector::ServiceSpill &
ServerSelector::spillOf(const std::string &service, const UsableServers &servers, core::Instant now)
{
    const std::optional<SpillTarget> target = m_measuredDemand.spillTarget(service, now);
    auto found = m_spills.find(service);
    if (found == m_spills.end()) {
        ServiceSpill spill = plannedSpillOf(servers);
        if (target) {
            spill.ramp = SpillRamp(target->level);
            spill.largeResponseLevel = target->largeResponseLevel;
        }
        spill.updatedAt = now;
        found = m_spills.emplace(service, spill).first;
    }
    ServiceSpill &spill = found->second;
    spill.ramp.setTarget(target);
    spill.largeResponseLevel
            = approachedLevel(spill.largeResponseLevel,
                              target ? target->largeResponseLevel : spill.plannedLargeResponseLevel,
                              now - spill.updatedAt);
    spill.updatedAt = now;
    return spill;
}

ServerSelector::ServiceSpill ServerSelector::plannedSpillOf(const UsableServers &servers) const
{
    double nearSlots = 0;
    double allSlots = 0;
    for (const std::vector<Candidate> *candidates : {&servers.preferred, &servers.cold}) {
        for (const Candidate &candidate : *candidates) {
            nearSlots += candidate.isNear ? candidate.server->server().slots : 0;
            allSlots += candidate.server->server().slots;
        }
    }
    const double capacityShare = nearSlots / allSlots;
    const double demandShare = m_demandShares.region;
    const double largeResponseLevel = plannedSpill(capacityShare, demandShare, true);
    return {SpillRamp(plannedSpill(capacityShare, demandShare, false)), largeResponseLevel,
            largeResponseLevel};
}

BackendStatePtr ServerSelector::otherInRegion(const RequestScope &scope, const std::string &service,
                                              const UsableServers &servers, core::Instant now) const
{
    const std::optional<SpillTarget> target = m_measuredDemand.spillTarget(service, now);
    if (!target || !target->hasCapacity)
        return nullptr;
    std::vector<Candidate> near;
    std::copy_if(servers.preferred.begin(), servers.preferred.end(), std::back_inserter(near),
                 [](const Candidate &candidate) { return candidate.isNear; });
    return firstWithCapacity(scope, near, now);
}

Selection ServerSelector::selectAny(const RequestScope &scope, const UsableServers &servers,
                                    core::Instant now) const
{
    for (const std::vector<Candidate> *ranked : {&servers.preferred, &servers.cold}) {
        if (const BackendStatePtr server = firstWithCapacity(scope, *ranked, now))
            return {server, SelectionReason::Alternative, {}};
    }
    return {nullptr, SelectionReason::Overloaded, {}};
}

BackendStatePtr ServerSelector::firstWithCapacity(const RequestScope &scope,
                                                  const std::vector<Candidate> &ranked,
                                                  core::Instant now) const
{
    const auto found = std::find_if(ranked.begin(), ranked.end(), [&](const Candidate &candidate) {
        return hasCapacity(scope, *candidate.server, now);
    });
    return found == ranked.end() ? nullptr : found->server;
}

bool ServerSelector::hasCapacity(const RequestScope &scope, const BackendState &server,
                                 core::Instant now) const
{
    const LoadLimits limits
            = m_admission.limitsFor(server.server().service, scope.rank(), scope.teamHash(), now);
    return hasCapacity(scope, server, limits, now);
}

bool ServerSelector::hasCapacity(const RequestScope &scope, const BackendState &server,
                                 const LoadLimits &limits, core::Instant now) const
{
    const bool isLatencyPermitted = server.expectedLatency(now)
            < scope.route.latencyObjective * m_settings.latencyObjectiveShare;
    return limits.admit(server.load(now) / server.server().slots, isLatencyPermitted);
}

} // namespace sardinehollow::routing
