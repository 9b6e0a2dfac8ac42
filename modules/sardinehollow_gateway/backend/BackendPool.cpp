#include "sardinehollow_gateway/backend/BackendPool.h"

namespace sardinehollow::gateway {

BackendPool::BackendPool(network::EventLoop &loop, const WireProtocol &protocol)
    : m_loop(loop)
    , m_protocol(protocol)
    , m_pool(loop)
{ }

BackendConnection &BackendPool::take(const routing::BackendStatePtr &server,
                                     core::Duration idleLimit)
{
    return m_pool.acquire(
            server.get(), idleLimit, [&](network::ClientConnection::ReleaseHandler onRelease) {
                return std::make_unique<BackendConnection>(
                        m_loop, m_protocol, server, m_malformedLoadReports, std::move(onRelease));
            });
}

void BackendPool::prune()
{
    m_pool.prune(
            [](const BackendConnection &connection) { return connection.server()->isRemoved(); });
}

} // namespace sardinehollow::gateway
