#include "sardinehollow_gateway/backend/BackendConnection.h"

namespace sardinehollow::gateway {

namespace {

// Above the 70 ms in which a server in a distant region answers at the present deployments, and
// below the 1 s after which TCP resends a lost SYN.
constexpr core::Duration connectTimeout = std::chrono::milliseconds(400);

Poco::Net::SocketAddress addressOf(const routing::BackendState &server)
{
    return Poco::Net::SocketAddress(server.server().address);
}

} // namespace

BackendConnection::BackendConnection(network::EventLoop &eventLoop, const WireProtocol &protocol,
                                     routing::BackendStatePtr server,
                                     std::uint64_t &malformedLoadReports, ReleaseHandler onRelease)
    : ClientConnection(eventLoop, addressOf(*server), connectTimeout, std::move(onRelease))
    , m_protocol(protocol)
    , m_malformedLoadReports(malformedLoadReports)
    , m_server(std::move(server))
{ }

void BackendConnection::start(const std::string &head, const std::string &method,
                              const std::string &requestId, network::ResponseListener &listener)
{
    m_requestId = requestId;
    m_sentAt = loop().now();
    m_loadAtSend = m_server->load(m_sentAt);
    m_server->onRequestSent(m_sentAt);
    ClientConnection::start(head, method, listener);
}

void BackendConnection::onEstablished(core::Duration elapsed)
{
    m_server->onConnected(elapsed);
}

bool BackendConnection::acceptsResponse(const Poco::Net::HTTPResponse &response)
{
    const BackendResponseFields fields = m_protocol.readBackendResponse(response);
    if (!fields.requestId.empty() && fields.requestId != m_requestId)
        return false;
    // Without an id, a repetition of this refusal could not be told from one of the next request.
    if (fields.didNotRun && fields.requestId.empty())
        closeAfterResponse();
    if (fields.hasMalformedLoad)
        ++m_malformedLoadReports;
    if (!fields.load)
        return true;
    const BackendResponseFields::Load &load = *fields.load;
    m_server->onLoadReport(load.running, load.waiting, load.slots, loop().now());
    m_server->onSlowdownReport(load.slowdown, loop().now());
    return true;
}

void BackendConnection::onRequestEnded(bool isAnswered)
{
    m_server->onRequestEnded(loop().now());
    if (isAnswered)
        m_server->onResponse(loop().now() - m_sentAt, m_loadAtSend, loop().now());
}

} // namespace sardinehollow::gateway
