#pragma once

#include "sardinehollow_gateway/backend/BackendConnection.h"
#include "sardinehollow_network/client/ClientPool.h"

namespace sardinehollow::gateway {

/** Pool of keep-alive connections to all backend servers. */
class BackendPool
{
public:
    BackendPool(network::EventLoop &loop, const WireProtocol &protocol);

    /**
     * Returns a connection that has been idle for at most idleLimit, or a new one. Throws
     * Poco::Exception if a new one cannot be opened.
     */
    BackendConnection &take(const routing::BackendStatePtr &server, core::Duration idleLimit);
    /** Closes the idle connections of removed servers and those that were idle for too long. */
    void prune();
    /** Closes the idle connections to a server, after one of them turned out to be dead. */
    void dropIdle(const routing::BackendState &server) { m_pool.dropIdle(&server); }

    std::uint64_t opened() const { return m_pool.opened(); }
    std::uint64_t reused() const { return m_pool.reused(); }
    std::size_t size() const { return m_pool.size(); }
    /** Number of responses whose load report could not be parsed. */
    std::uint64_t malformedLoadReports() const { return m_malformedLoadReports; }

private:
    network::EventLoop &m_loop;
    const WireProtocol &m_protocol;
    std::uint64_t m_malformedLoadReports = 0;
    network::ClientPool<const routing::BackendState *, BackendConnection> m_pool;
};

} // namespace sardinehollow::gateway
