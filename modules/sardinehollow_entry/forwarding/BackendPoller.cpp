#include "sardinehollow_entry/forwarding/BackendPoller.h"

#include "sardinehollow_core/hash/RendezvousHash.h"

#include <vector>

namespace sardinehollow::entry {

BackendPoller::BackendPoller(network::EventLoop &loop, EntryServices &services, ForwardPool &pool)
    : m_loop(loop)
    , m_services(services)
    , m_pool(pool)
{ }

void BackendPoller::poll()
{
    const std::shared_ptr<const config::Configuration> configuration
            = m_services.policy.configuration();
    const std::shared_ptr<const policy::PeerView> peers = m_services.policy.peers();
    if (!configuration || !peers)
        return;
    for (const config::BackendPool &pool : configuration->pools) {
        for (const config::BackendServer &server : pool.backendServers) {
            if (!owns(server, *peers))
                continue;
            m_pool.setLimit(server.address, pool.connectionLimit);
            poll(server);
        }
    }
}

void BackendPoller::poll(const config::BackendServer &server)
{
    std::unique_ptr<LoadQuery> &query = m_queries[server.name];
    if (query)
        return;
    query = std::make_unique<LoadQuery>(
            m_loop, m_pool, server.address,
            [this, name = server.name](const std::optional<policy::BackendReport> &report) {
                onEnd(name, report);
            });
    query->start();
}

void BackendPoller::onEnd(const std::string &server,
                          const std::optional<policy::BackendReport> &report)
{
    // Deferred, because the query is on the call stack.
    m_loop.defer([this, server] { m_queries.erase(server); });
    if (!report)
        return;
    policy::BackendReport completed = *report;
    completed.backendServer = server;
    completed.now = m_services.clock.now();
    m_services.policy.onBackendReport(completed);
}

bool BackendPoller::owns(const config::BackendServer &server, const policy::PeerView &peers) const
{
    std::vector<std::string> candidates;
    for (const policy::Peer &peer : peers.peers) {
        if (!peer.leaving && peer.failureDomain == server.failureDomain)
            candidates.push_back(peer.vm);
    }
    const std::optional<std::size_t> owner = core::rendezvousOwner(server.name, candidates);
    return owner && candidates[*owner] == peers.local().vm;
}

} // namespace sardinehollow::entry
