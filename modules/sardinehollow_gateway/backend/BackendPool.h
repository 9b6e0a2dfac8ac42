#pragma once

#include "sardinehollow_gateway/backend/BackendConnection.h"
#include "sardinehollow_network/client/ClientPool.h"

namespace sardinehollow::gateway {

/** The connections to all backend servers, kept open for later requests. */
class BackendPool
{
public:
    BackendPool(network::EventLoop &loop, const WireProtocol &protocol);

    /**
     * Returns a free connection that was idle for no longer than the limit, or a new one. Throws
     * Poco::Exception if a new one cannot be opened.
     */
    BackendConnection &take(const routing::BackendStatePtr &server, core::Duration idleLimit);
    /** Closes the free connections of servers that are gone and those that were idle too long. */
    void prune();
    /** Closes the free connections to a server: one of them proved to be dead. */
    void dropIdle(const routing::BackendState &server) { m_pool.dropIdle(&server); }

    std::uint64_t opened() const { return m_pool.opened(); }
    std::uint64_t reused() const { return m_pool.reused(); }
    std::size_t size() const { return m_pool.size(); }

private:
    network::EventLoop &m_loop;
    const WireProtocol &m_protocol;
    network::ClientPool<const routing::BackendState *, BackendConnection> m_pool;
};

} // namespace sardinehollow::gateway
