#pragma once

#include "sardinehollow_network/connection/Listener.h"

#include <Poco/Net/HTTPRequest.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace sardinehollow::network {

class QueryConnection;

/** Serves short requests that need no backend server: readiness, directory and metrics. */
class QueryListener
{
public:
    struct Answer
    {
        int status = 200;
        std::string contentType;
        std::string body;
    };
    using Handler = std::function<Answer(const Poco::Net::HTTPRequest &)>;

    /** Throws Poco::Exception if the address cannot be bound. */
    QueryListener(EventLoop &loop, const std::string &address, Handler handler,
                  Listener::FailureHandler onFailure);
    ~QueryListener();

    const Poco::Net::SocketAddress address() const { return m_listener.address(); }

private:
    friend class QueryConnection;

    void accept(const Poco::Net::StreamSocket &socket);
    void remove(QueryConnection &connection);

    EventLoop &m_loop;
    const Handler m_handler;
    Listener m_listener;
    std::unordered_map<QueryConnection *, std::unique_ptr<QueryConnection>> m_connections;
};

} // namespace sardinehollow::network
