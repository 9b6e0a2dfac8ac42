#include "sardinehollow_network/server/ServerListener.h"

#include <algorithm>

namespace sardinehollow::network {

ServerListener::ServerListener(EventLoop &loop, const std::string &address,
                               RequestHandlerFactory &factory, Listener::FailureHandler onFailure)
    : m_loop(loop)
    , m_factory(factory)
    , m_listener(
              loop, address, [this](const Poco::Net::StreamSocket &socket) { accept(socket); },
              std::move(onFailure))
{ }

void ServerListener::accept(const Poco::Net::StreamSocket &socket)
{
    auto connection = std::make_unique<ServerConnection>(
            m_loop, m_factory, socket, [this](ServerConnection &closed) {
                // Deferred, because the connection is still on the call stack.
                m_loop.defer([this, &closed] { m_connections.erase(&closed); });
            });
    ServerConnection *key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

void ServerListener::closeIdle(core::Duration idleFor)
{
    for (const auto &[key, connection] : m_connections) {
        if (!connection->isBusy() && m_loop.now() - connection->idleSince() >= idleFor)
            connection->closeIdle();
    }
}

std::size_t ServerListener::busyCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_connections.begin(), m_connections.end(),
                          [](const auto &entry) { return entry.second->isBusy(); }));
}

} // namespace sardinehollow::network
