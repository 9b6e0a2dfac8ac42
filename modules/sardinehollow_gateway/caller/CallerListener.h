#pragma once

#include "sardinehollow_gateway/caller/CallerConnection.h"
#include "sardinehollow_gateway/connection/Listener.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace sardinehollow::gateway {

/** The address at which callers send requests, and their connections. */
class CallerListener
{
public:
    CallerListener(GatewayServices &services, const std::string &address);

    void stopAccepting() { m_listener.close(); }
    /** Closes connections without a request that were quiet for the given time. */
    void closeIdle(core::Duration quietFor);
    std::size_t connectionCount() const { return m_connections.size(); }
    /** Connections on which a request is being read or answered. */
    std::size_t busyCount() const;
    const Poco::Net::SocketAddress address() const { return m_listener.address(); }

private:
    void accept(const Poco::Net::StreamSocket &socket);

    GatewayServices &m_services;
    Listener m_listener;
    std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
};

} // namespace sardinehollow::gateway
