#include "sardinehollow_gateway/caller/CallerListener.h"

#include <algorithm>
#include <vector>

namespace sardinehollow::gateway {

CallerListener::CallerListener(GatewayServices &services, const std::string &address)
    : m_services(services)
    , m_listener(services.loop, address,
                 [this](const Poco::Net::StreamSocket &socket) { accept(socket); })
{ }

void CallerListener::accept(const Poco::Net::StreamSocket &socket)
{
    auto connection = std::make_unique<CallerConnection>(
            m_services, socket, [this](CallerConnection &closed) {
                // The connection is still on the call stack.
                m_services.loop.defer([this, &closed] { m_connections.erase(&closed); });
            });
    CallerConnection *key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

void CallerListener::closeIdle(core::Duration quietFor)
{
    for (const auto &[key, connection] : m_connections) {
        if (!connection->isBusy() && m_services.loop.now() - connection->quietSince() >= quietFor)
            connection->closeIdle();
    }
}

std::size_t CallerListener::busyCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_connections.begin(), m_connections.end(),
                          [](const auto &entry) { return entry.second->isBusy(); }));
}

} // namespace sardinehollow::gateway
