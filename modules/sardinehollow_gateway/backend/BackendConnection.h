#pragma once

#include "sardinehollow_gateway/exchange/WireProtocol.h"
#include "sardinehollow_network/client/ClientConnection.h"
#include "sardinehollow_routing/backends/BackendRegistry.h"

#include <string>

namespace sardinehollow::gateway {

/** A connection to a backend server; records load and latency in the server's BackendState. */
class BackendConnection : public network::ClientConnection
{
public:
    /**
     * Starts connecting; throws Poco::Exception if that fails immediately. The counter of malformed
     * load reports must outlive the connection.
     */
    BackendConnection(network::EventLoop &loop, const WireProtocol &protocol,
                      routing::BackendStatePtr server, std::uint64_t &malformedLoadReports,
                      ReleaseHandler onRelease);

    const routing::BackendStatePtr &server() const { return m_server; }
    /** Starts a request; its body follows by send(). A response with another id is rejected. */
    void start(const std::string &head, const std::string &method, const std::string &requestId,
               network::ResponseListener &listener);

protected:
    void onEstablished(core::Duration elapsed) override;
    bool acceptsResponse(const Poco::Net::HTTPResponse &response) override;
    void onRequestEnded(bool isAnswered) override;

private:
    const WireProtocol &m_protocol;
    std::uint64_t &m_malformedLoadReports;
    const routing::BackendStatePtr m_server;
    std::string m_requestId;
    core::Instant m_sentAt {0};
    double m_loadAtSend = 0;
};

} // namespace sardinehollow::gateway
