#include "sardinehollow_policy/pool/ServerSet.h"

#include <algorithm>

namespace sardinehollow::policy {

void ServerSet::update(const config::Configuration &configuration, const config::BackendPool &pool,
                       const SlotOwners &owners, const PeerView &peers)
{
    const std::string &localVm = peers.local().vm;
    std::set<std::string> leaving;
    for (const Peer &peer : peers.peers) {
        if (peer.leaving)
            leaving.insert(peer.vm);
    }
    std::set<std::string> configured;
    for (const config::BackendServer &server : pool.backendServers) {
        configured.insert(server.name);
        std::unique_ptr<ServerSlots> &slots = m_servers[server.name];
        if (!slots) {
            slots = std::make_unique<ServerSlots>(m_settings, server);
            // Servers of the first configuration were running before this daemon, so they are warm;
            // later ones are new.
            if (m_hasConfiguration)
                slots->beginSlowStart();
        }
        const Peer *owner = owners.owner(server);
        const std::string ownerVm = owner != nullptr ? owner->vm : std::string();
        slots->setServer(server);
        slots->setOwner(ownerVm, ownerVm == localVm, leaving.count(slots->owner()) != 0);
        slots->setDrained(configuration.isDrained(config::DrainTarget::BackendServer, server.name)
                          || configuration.isFailureDomainDrained(server.failureDomain));
    }
    std::erase_if(m_servers, [&configured](const auto &item) {
        return configured.count(item.first) == 0 && item.second->inFlight() == 0;
    });
    m_owned.clear();
    for (const auto &[name, slots] : m_servers) {
        if (configured.count(name) == 0)
            slots->setOwner({}, false, false);
        if (slots->isOwned())
            m_owned.push_back(slots.get());
    }
    m_hasConfiguration = true;
}

void ServerSet::advance(core::Instant now)
{
    for (ServerSlots *server : m_owned)
        server->advance(now);
}

ServerSlots *ServerSet::find(const std::string &name) const
{
    const auto found = m_servers.find(name);
    return found == m_servers.end() ? nullptr : found->second.get();
}

ServerSlots *ServerSet::chooseLeastUsed(const std::set<std::string> &tried, core::Instant now) const
{
    ServerSlots *best = nullptr;
    double bestUtilisation = 1.0;
    for (ServerSlots *server : m_owned) {
        if (!server->hasFreeSlot(now) || tried.count(server->server().name) != 0)
            continue;
        const double utilisation = static_cast<double>(server->inFlight()) / server->limit(now);
        if (utilisation >= bestUtilisation)
            continue;
        best = server;
        bestUtilisation = utilisation;
    }
    return best;
}

bool ServerSet::hasCandidate(const std::set<std::string> &tried, core::Instant now) const
{
    return std::any_of(m_owned.begin(), m_owned.end(), [&tried, now](const ServerSlots *server) {
        const ServerState state = server->state(now);
        const bool usable = state != ServerState::Leaving && state != ServerState::Drained;
        return usable && tried.count(server->server().name) == 0;
    });
}

core::Instant ServerSet::admitsAt() const
{
    core::Instant earliest = core::Instant::max();
    for (const ServerSlots *server : m_owned)
        earliest = std::min(earliest, server->admitsAt());
    return earliest;
}

std::uint32_t ServerSet::usableSlots(core::Instant now) const
{
    std::uint32_t slots = 0;
    for (const ServerSlots *server : m_owned) {
        const ServerState state = server->state(now);
        if (state == ServerState::Serving)
            slots += server->limit(now);
        else if (state == ServerState::Unreachable)
            ++slots;
    }
    return slots;
}

std::uint32_t ServerSet::freeSlots(core::Instant now) const
{
    std::uint32_t slots = 0;
    for (const ServerSlots *server : m_owned) {
        if (server->state(now) == ServerState::Serving && server->hasFreeSlot(now))
            slots += server->limit(now) - server->inFlight();
    }
    return slots;
}

std::uint32_t ServerSet::startableSlots(core::Instant now) const
{
    std::uint32_t slots = freeSlots(now);
    for (const ServerSlots *server : m_owned) {
        if (server->state(now) == ServerState::Unreachable && server->hasFreeSlot(now))
            ++slots;
    }
    return slots;
}

void ServerSet::avoidIfOutlier(ServerSlots &server, core::Instant now) const
{
    m_outlierDetector.avoidIfOutlier(server, m_owned, now);
}

} // namespace sardinehollow::policy
