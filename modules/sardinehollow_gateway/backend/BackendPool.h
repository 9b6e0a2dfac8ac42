#pragma once

#include "sardinehollow_gateway/backend/BackendConnection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace sardinehollow::gateway {

/** The connections to all backend servers, kept open for later requests. */
class BackendPool
{
public:
    BackendPool(EventLoop &loop, const WireProtocol &protocol);

    /**
     * Returns a free connection that was idle for no longer than the limit, or a new one. Throws
     * Poco::Exception if a new one cannot be opened.
     */
    BackendConnection &take(const routing::BackendStatePtr &server, core::Duration idleLimit);
    /** Closes the free connections of servers that are gone and those that were idle too long. */
    void prune();
    /** Closes the free connections to a server: one of them proved to be dead. */
    void dropIdle(const routing::BackendState &server);

    std::uint64_t opened() const { return m_opened; }
    std::uint64_t reused() const { return m_reused; }
    std::size_t size() const { return m_connections.size(); }

private:
    void onRelease(BackendConnection &connection, bool isReusable);
    void destroy(BackendConnection &connection);

    EventLoop &m_loop;
    const WireProtocol &m_protocol;
    std::unordered_map<BackendConnection *, std::unique_ptr<BackendConnection>> m_connections;
    std::map<const routing::BackendState *, std::vector<BackendConnection *>> m_idle;
    std::uint64_t m_opened = 0;
    std::uint64_t m_reused = 0;
};

} // namespace sardinehollow::gateway
