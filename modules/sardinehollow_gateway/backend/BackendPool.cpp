#include "sardinehollow_gateway/backend/BackendPool.h"

#include <algorithm>

namespace sardinehollow::gateway {

BackendPool::BackendPool(EventLoop &loop, const WireProtocol &protocol)
    : m_loop(loop)
    , m_protocol(protocol)
{ }

BackendConnection &BackendPool::take(const routing::BackendStatePtr &server,
                                     core::Duration idleLimit)
{
    std::vector<BackendConnection *> &idle = m_idle[server.get()];
    // The one used last is the least likely to have been closed by the server.
    if (!idle.empty()) {
        BackendConnection &latest = *idle.back();
        const core::Duration age = m_loop.now() - latest.idleSince();
        if (age < std::min(idleLimit, latest.idleLimit())) {
            idle.pop_back();
            ++m_reused;
            return latest;
        }
    }
    auto connection = std::make_unique<BackendConnection>(
            m_loop, m_protocol, server,
            [this](BackendConnection &released, bool reusable) { onRelease(released, reusable); });
    BackendConnection &reference = *connection;
    m_connections.emplace(&reference, std::move(connection));
    ++m_opened;
    return reference;
}

void BackendPool::onRelease(BackendConnection &connection, bool isReusable)
{
    if (isReusable) {
        m_idle[connection.server().get()].push_back(&connection);
        return;
    }
    const auto idle = m_idle.find(connection.server().get());
    if (idle != m_idle.end())
        idle->second.erase(std::remove(idle->second.begin(), idle->second.end(), &connection),
                           idle->second.end());
    // The connection is still on the call stack.
    m_loop.defer([this, &connection] { destroy(connection); });
}

void BackendPool::destroy(BackendConnection &connection)
{
    m_connections.erase(&connection);
}

void BackendPool::prune()
{
    std::vector<BackendConnection *> stale;
    for (const auto &[server, idle] : m_idle) {
        for (BackendConnection *connection : idle) {
            const core::Duration age = m_loop.now() - connection->idleSince();
            if (server->isGone() || age >= connection->idleLimit())
                stale.push_back(connection);
        }
    }
    for (BackendConnection *connection : stale)
        connection->abandon();
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        // Only connections keep the state alive, so that an empty list may belong to a freed one.
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

void BackendPool::dropIdle(const routing::BackendState &server)
{
    const auto found = m_idle.find(&server);
    if (found == m_idle.end())
        return;
    const std::vector<BackendConnection *> idle = found->second;
    for (BackendConnection *connection : idle)
        connection->abandon();
}

} // namespace sardinehollow::gateway
