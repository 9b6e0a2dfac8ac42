#include "sardinehollow_gateway/backend/BackendConnection.h"

#include "sardinehollow_gateway/http/HeadReader.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>

namespace sardinehollow::gateway {

namespace {

constexpr std::size_t longestHead = 64 * 1024;
// One lost opening packet is sent again after a second; a server that is merely far answers in
// 70 ms at the present deployments.
constexpr core::Duration connectTimeout = std::chrono::milliseconds(400);
// A server that does not say how long it keeps idle connections open.
constexpr core::Duration defaultIdleLimit = std::chrono::seconds(4);
// The server's timer started earlier than ours, and it says whole seconds.
constexpr core::Duration idleMargin = std::chrono::milliseconds(1500);

Poco::Net::SocketAddress addressOf(const routing::BackendState &server)
{
    return Poco::Net::SocketAddress(server.server().address);
}

} // namespace

BackendConnection::BackendConnection(EventLoop &eventLoop, const WireProtocol &protocol,
                                     routing::BackendStatePtr server, ReleaseHandler onRelease)
    : BufferedConnection(eventLoop, addressOf(*server))
    , m_protocol(protocol)
    , m_server(std::move(server))
    , m_onRelease(std::move(onRelease))
    , m_idleLimit(defaultIdleLimit)
    , m_startedAt(eventLoop.now())
{
    m_connectTimer = loop().schedule(connectTimeout, [this] {
        if (isConnected() || !isOpen())
            return;
        close();
        onClosed("no answer to the connection attempt");
    });
}

BackendConnection::~BackendConnection()
{
    loop().cancel(m_connectTimer);
}

void BackendConnection::start(const std::string &head, const std::string &method,
                              const std::string &requestId, AttemptListener &listener)
{
    m_listener = &listener;
    m_method = method;
    m_requestId = requestId;
    m_isRequestWhole = false;
    m_decoder.reset();
    m_sentAt = loop().now();
    m_loadAtSend = m_server->load(m_sentAt);
    m_server->onSent(m_sentAt);
    send(head);
}

void BackendConnection::abandon()
{
    if (m_listener)
        m_server->onEnded();
    m_listener = nullptr;
    // A request that a partition holds up would otherwise reach the server once the partition ends.
    reset();
    release(false);
}

void BackendConnection::onConnected()
{
    loop().cancel(m_connectTimer);
    m_server->onConnected(loop().now() - m_startedAt);
}

void BackendConnection::onInput()
{
    if (!m_listener) {
        // Nothing is asked for: an extra response to an earlier request.
        close();
        release(false);
        return;
    }
    while (m_listener && !input().empty()) {
        if (!m_decoder && !readResponseHead())
            return;
        if (m_decoder)
            readResponseBody();
        if (m_decoder)
            return;
    }
}

bool BackendConnection::readResponseHead()
{
    Poco::Net::HTTPResponse response;
    const HeadStatus status = readHead(input(), longestHead, response);
    if (status == HeadStatus::Incomplete)
        return false;
    if (status != HeadStatus::Complete) {
        fail(AttemptFailure::InvalidResponse, "the server sent bytes that are no response");
        return false;
    }
    // Interim responses carry nothing for the caller.
    if (response.getStatus() < Poco::Net::HTTPResponse::HTTP_OK)
        return !input().empty();
    onHead(response);
    return m_decoder != nullptr;
}

void BackendConnection::onHead(const Poco::Net::HTTPResponse &response)
{
    const BackendResponseFacts facts = m_protocol.readBackendResponse(response);
    const core::HttpBodyFraming framing = core::framingOf(response, m_method);
    m_isForeignResponse = !facts.requestId.empty() && facts.requestId != m_requestId;
    m_isReusable = m_isReusable && !m_isForeignResponse
            && framing.kind != core::HttpBodyFraming::Kind::UntilClose;
    noteKeepAlive(response);
    m_decoder = std::make_unique<BodyDecoder>(framing);
    if (m_isForeignResponse)
        return;
    if (facts.load)
        m_server->onLoadReport(facts.load->running, facts.load->waiting, facts.load->slots,
                               loop().now());
    const bool hasKnownLength = framing.kind == core::HttpBodyFraming::Kind::Fixed
            || framing.kind == core::HttpBodyFraming::Kind::None;
    m_listener->onResponseHead(response, hasKnownLength);
}

void BackendConnection::noteKeepAlive(const Poco::Net::HTTPResponse &response)
{
    const bool isClosing = Poco::icompare(response.get("Connection", ""), "close") == 0
            || response.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1;
    m_isReusable = m_isReusable && !isClosing;
    const std::string keepAlive = response.get("Keep-Alive", "");
    const std::size_t position = keepAlive.find("timeout=");
    if (position == std::string::npos)
        return;
    int seconds = 0;
    std::string digits = keepAlive.substr(position + 8);
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    if (Poco::NumberParser::tryParse(digits, seconds))
        m_idleLimit = std::max<core::Duration>(std::chrono::seconds(seconds) - idleMargin,
                                               core::Duration {0});
}

void BackendConnection::readResponseBody()
{
    std::string body;
    const BodyDecoder::Status status = m_decoder->decode(input(), body);
    if (status == BodyDecoder::Status::Malformed) {
        fail(AttemptFailure::InvalidResponse, "the body of the response is not framed correctly");
        return;
    }
    if (!body.empty() && !m_isForeignResponse)
        m_listener->onResponseBody(std::move(body));
    // The listener may have abandoned the request.
    if (status == BodyDecoder::Status::Done && m_listener)
        finishResponse();
}

void BackendConnection::finishResponse()
{
    m_decoder.reset();
    if (m_isForeignResponse)
        return;
    AttemptListener *listener = m_listener;
    m_listener = nullptr;
    // Bytes behind the response belong to no request. A server that answered before it had read
    // the whole request would take the next one for the rest of it.
    const bool isReusable
            = m_isReusable && input().empty() && m_isRequestWhole && unsentBytes() == 0 && isOpen();
    if (!isReusable)
        close();
    m_server->onEnded();
    m_server->onResponse(loop().now() - m_sentAt, m_loadAtSend);
    m_idleSince = loop().now();
    listener->onResponseEnd();
    m_isReleased = !isReusable;
    m_onRelease(*this, isReusable);
}

void BackendConnection::onDrained()
{
    if (m_listener)
        m_listener->onRequestDrained();
}

void BackendConnection::onClosed(const std::string &reason)
{
    loop().cancel(m_connectTimer);
    // The end of the connection is the end of a body without a length, unless it was reset.
    const bool isEndOfBody = m_listener && m_decoder && !m_isForeignResponse
            && m_decoder->framing().kind == core::HttpBodyFraming::Kind::UntilClose
            && reason == peerClosed;
    if (isEndOfBody) {
        finishResponse();
        return;
    }
    fail(isConnected() ? AttemptFailure::Broken : AttemptFailure::NotConnected, reason);
}

void BackendConnection::fail(AttemptFailure failure, const std::string &detail)
{
    AttemptListener *listener = m_listener;
    m_listener = nullptr;
    reset();
    if (listener)
        m_server->onEnded();
    release(false);
    if (listener)
        listener->onAttemptFailed(failure, detail);
}

void BackendConnection::release(bool isReusable)
{
    if (m_isReleased)
        return;
    m_isReleased = !isReusable;
    m_onRelease(*this, isReusable);
}

} // namespace sardinehollow::gateway
