#include "sardinehollow_network/server/QueryListener.h"

#include "sardinehollow_network/server/QueryConnection.h"

namespace sardinehollow::network {

QueryListener::QueryListener(EventLoop &loop, const std::string &address, Handler handler,
                             Listener::FailureHandler onFailure)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_listener(
              loop, address, [this](const Poco::Net::StreamSocket &socket) { accept(socket); },
              std::move(onFailure))
{ }

QueryListener::~QueryListener() = default;

void QueryListener::accept(const Poco::Net::StreamSocket &socket)
{
    auto connection = std::make_unique<QueryConnection>(m_loop, socket, *this);
    QueryConnection *key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

void QueryListener::remove(QueryConnection &connection)
{
    // Deferred, because the connection is still on the call stack.
    m_loop.defer([this, &connection] { m_connections.erase(&connection); });
}

} // namespace sardinehollow::network
