#include "sardinehollow_routing/backends/BackendRegistry.h"

#include <algorithm>

namespace sardinehollow::routing {

namespace {

// Bounds the memory for removed servers; the entries of most never return.
constexpr std::size_t maximumRemovedServers = 4096;

// A server that restarts under the same id, at another address or time, is a new incarnation: the
// state of the previous one does not apply to it.
bool isSameStart(const BackendServer &first, const BackendServer &second)
{
    return first.service == second.service && first.address == second.address
            && first.startedAt == second.startedAt;
}

} // namespace

BackendRegistry::BackendRegistry(std::map<std::string, std::string> regions,
                                 std::uint64_t daemonSeed)
    : m_regions(std::move(regions))
    , m_daemonSeed(daemonSeed)
{ }

bool BackendRegistry::put(const BackendServer &server, core::Instant now)
{
    if (isOutdated(server))
        return false;
    ++m_changeCount;
    const auto found = m_servers.find(server.id);
    if (found != m_servers.end() && isSameStart(found->second->server(), server)) {
        found->second->update(server, now);
        return true;
    }
    remove(server.id);
    BackendStatePtr state = takeRemoved(server, now);
    if (!state) {
        const auto region = m_regions.find(server.failureDomain);
        state = std::make_shared<BackendState>(
                server, region == m_regions.end() ? std::string() : region->second, m_daemonSeed);
        state->update(server, now);
    }
    m_servers[server.id] = state;
    m_services[server.service].push_back(state);
    return true;
}

bool BackendRegistry::isOutdated(const BackendServer &server) const
{
    const auto present = m_servers.find(server.id);
    const auto removed = m_removedServers.find(server.id);
    if (present == m_servers.end() && removed == m_removedServers.end())
        return false;
    const BackendState &state = present != m_servers.end() ? *present->second : *removed->second;
    const BackendServer &last = state.server();
    if (server.startedAt == 0 || last.startedAt == 0)
        return false;
    return server.startedAt < last.startedAt
            || (server.startedAt == last.startedAt && server.sequence < last.sequence);
}

void BackendRegistry::remove(const std::string &id)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    ++m_changeCount;
    const BackendStatePtr state = found->second;
    state->setRemoved(true);
    m_servers.erase(found);
    detach(state);
    // Without a start time, a later entry under the id may be that of a new incarnation.
    if (state->server().startedAt == 0)
        return;
    if (m_removedServers.size() >= maximumRemovedServers)
        m_removedServers.erase(m_removedServers.begin());
    m_removedServers[id] = state;
}

BackendStatePtr BackendRegistry::takeRemoved(const BackendServer &server, core::Instant now)
{
    const auto removed = m_removedServers.extract(server.id);
    if (removed.empty() || !isSameStart(removed.mapped()->server(), server))
        return nullptr;
    BackendStatePtr state = removed.mapped();
    const bool hasAnnouncedLeave = state->hasAnnouncedLeave();
    state->update(server, now);
    // An entry that lapsed and is written again does not withdraw the announcement.
    if (hasAnnouncedLeave)
        state->onLeaveAnnounced();
    state->setRemoved(false);
    return state;
}

void BackendRegistry::detach(const BackendStatePtr &state)
{
    std::vector<BackendStatePtr> &servers = m_services[state->server().service];
    servers.erase(std::remove(servers.begin(), servers.end(), state), servers.end());
}

const std::vector<BackendStatePtr> &BackendRegistry::servers(const std::string &service) const
{
    static const std::vector<BackendStatePtr> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

void BackendRegistry::setEvacuated(std::set<std::string> failureDomains)
{
    ++m_changeCount;
    m_evacuated = std::move(failureDomains);
}

bool BackendRegistry::isEvacuated(const std::string &failureDomain) const
{
    return m_evacuated.count(failureDomain) > 0;
}

} // namespace sardinehollow::routing
