#pragma once

#include "sardinehollow_network/connection/Listener.h"
#include "sardinehollow_network/server/ServerConnection.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace sardinehollow::network {

/** Accepts callers on one address and owns their connections. */
class ServerListener
{
public:
    /** Throws Poco::Exception if the address cannot be bound. */
    ServerListener(EventLoop &loop, const std::string &address, RequestHandlerFactory &factory,
                   Listener::FailureHandler onFailure);

    void stopAccepting() { m_listener.close(); }
    /** Closes connections that have no request and have been idle for at least the given time. */
    void closeIdle(core::Duration idleFor);
    std::size_t connectionCount() const { return m_connections.size(); }
    /** Connections on which a request is being received or answered. */
    std::size_t busyCount() const;
    const Poco::Net::SocketAddress address() const { return m_listener.address(); }

private:
    void accept(const Poco::Net::StreamSocket &socket);

    EventLoop &m_loop;
    RequestHandlerFactory &m_factory;
    Listener m_listener;
    std::unordered_map<ServerConnection *, std::unique_ptr<ServerConnection>> m_connections;
};

} // namespace sardinehollow::network
