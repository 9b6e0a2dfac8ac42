#include "sardinehollow_network/client/ClientConnection.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>

namespace sardinehollow::network {

namespace {

constexpr std::size_t maxHeadBytes = 64 * 1024;
// A server in trouble may send bytes that belong to no response without end. The limits bound what
// is read of them before the connection is closed.
constexpr std::size_t maxSkippedResponses = 16;
constexpr std::uint64_t maxSkippedBytes = 1024 * 1024;
// Used for servers that send no Keep-Alive timeout.
constexpr core::Duration defaultIdleLimit = std::chrono::seconds(4);
// Subtracted from the server's Keep-Alive timeout: the server's timer started earlier than the
// local one, and the timeout is given in whole seconds.
constexpr core::Duration idleLimitMargin = std::chrono::milliseconds(1500);

} // namespace

ClientConnection::ClientConnection(EventLoop &eventLoop, const Poco::Net::SocketAddress &address,
                                   core::Duration connectTimeout, ReleaseHandler onRelease)
    : BufferedConnection(eventLoop, address)
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

ClientConnection::~ClientConnection()
{
    loop().cancel(m_connectTimer);
}

void ClientConnection::start(const std::string &head, const std::string &method,
                             ResponseListener &listener)
{
    m_listener = &listener;
    m_method = method;
    m_isRequestComplete = false;
    m_skippedResponses = 0;
    m_skippedBytes = 0;
    m_decoder.reset();
    send(head);
}

void ClientConnection::cancel()
{
    if (m_listener)
        onRequestEnded(false);
    m_listener = nullptr;
    // A reset discards unsent bytes. Otherwise a request delayed by a network partition would reach
    // the server once the partition heals.
    reset();
    release(false);
}

void ClientConnection::onConnected()
{
    loop().cancel(m_connectTimer);
    onEstablished(loop().now() - m_startedAt);
}

void ClientConnection::onInput()
{
    if (!m_listener) {
        // No request is outstanding, so this is an unexpected extra response to an earlier one.
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

bool ClientConnection::readResponseHead()
{
    Poco::Net::HTTPResponse response;
    const HeadStatus status = m_headReader.read(input(), maxHeadBytes, response);
    if (status == HeadStatus::Incomplete)
        return false;
    if (status != HeadStatus::Complete) {
        fail(AttemptFailure::InvalidResponse,
             "the server sent a response head that is malformed or too large");
        return false;
    }
    // Interim (1xx) responses are not forwarded to the caller.
    if (response.getStatus() < Poco::Net::HTTPResponse::HTTP_OK) {
        ++m_skippedResponses;
        return skipBytes(m_headReader.headBytes()) && !input().empty();
    }
    onHead(response);
    if (m_isStaleResponse) {
        ++m_skippedResponses;
        return skipBytes(m_headReader.headBytes());
    }
    // The listener may have cancelled the request.
    return m_listener != nullptr;
}

bool ClientConnection::skipBytes(std::size_t count)
{
    m_skippedBytes += count;
    if (m_skippedResponses <= maxSkippedResponses && m_skippedBytes <= maxSkippedBytes)
        return true;
    fail(AttemptFailure::InvalidResponse,
         "the interim responses and those to other requests exceed the limit for skipping them");
    return false;
}

void ClientConnection::onHead(const Poco::Net::HTTPResponse &response)
{
    const core::HttpBodyFraming framing = core::framingOf(response, m_method);
    m_isStaleResponse = !acceptsResponse(response);
    m_isReusable = m_isReusable && !m_isStaleResponse
            && framing.kind != core::HttpBodyFraming::Kind::UntilClose;
    readKeepAlive(response);
    m_decoder = std::make_unique<BodyDecoder>(framing);
    if (m_isStaleResponse)
        return;
    const bool hasKnownLength = framing.kind == core::HttpBodyFraming::Kind::Fixed
            || framing.kind == core::HttpBodyFraming::Kind::None;
    m_listener->onResponseHead(response, hasKnownLength);
}

void ClientConnection::readKeepAlive(const Poco::Net::HTTPResponse &response)
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
        m_idleLimit = std::max<core::Duration>(std::chrono::seconds(seconds) - idleLimitMargin,
                                               core::Duration {0});
}

void ClientConnection::readResponseBody()
{
    std::string body;
    const BodyDecoder::Status status = m_decoder->decode(input(), body);
    if (status == BodyDecoder::Status::Malformed) {
        fail(AttemptFailure::InvalidResponse, "the framing of the response body is malformed");
        return;
    }
    if (m_isStaleResponse) {
        if (!skipBytes(body.size()))
            return;
    } else if (!body.empty()) {
        m_listener->onResponseBody(std::move(body));
    }
    // The listener may have cancelled the request.
    if (status == BodyDecoder::Status::Done && m_listener)
        finishResponse();
}

void ClientConnection::finishResponse()
{
    m_decoder.reset();
    if (m_isStaleResponse)
        return;
    ResponseListener *listener = m_listener;
    m_listener = nullptr;
    // Bytes after the response belong to no request. A server that responded before it had read the
    // complete request would read the next request as the rest of this one.
    const bool isReusable = m_isReusable && input().empty() && m_isRequestComplete
            && unsentBytes() == 0 && isOpen();
    if (!isReusable)
        close();
    onRequestEnded(true);
    m_idleSince = loop().now();
    listener->onResponseEnd();
    // The listener may have paused reading for a slow caller of this response.
    setReading(true);
    m_isReleased = !isReusable;
    m_onRelease(*this, isReusable);
}

void ClientConnection::onDrained()
{
    if (m_listener)
        m_listener->onRequestDrained();
}

void ClientConnection::onClosed(const std::string &reason)
{
    loop().cancel(m_connectTimer);
    // Closing the connection ends a body without a length, unless the connection was reset.
    const bool isEndOfBody = m_listener && m_decoder && !m_isStaleResponse
            && m_decoder->framing().kind == core::HttpBodyFraming::Kind::UntilClose
            && reason == peerClosed;
    if (isEndOfBody) {
        finishResponse();
        return;
    }
    fail(isConnected() ? AttemptFailure::Broken : AttemptFailure::NotConnected, reason);
}

void ClientConnection::fail(AttemptFailure failure, const std::string &detail)
{
    ResponseListener *listener = m_listener;
    m_listener = nullptr;
    reset();
    if (listener)
        onRequestEnded(false);
    release(false);
    if (listener)
        listener->onAttemptFailed(failure, detail);
}

void ClientConnection::release(bool isReusable)
{
    if (m_isReleased)
        return;
    m_isReleased = !isReusable;
    m_onRelease(*this, isReusable);
}

} // namespace sardinehollow::network
