#include "sardinehollow_network/server/ServerConnection.h"

#include "sardinehollow_network/http/MessageWriter.h"

#include <Poco/String.h>

namespace sardinehollow::network {

namespace {

using Poco::Net::HTTPResponse;

// Bytes of pipelined requests that are buffered before reading from the caller is paused.
constexpr std::size_t maxPipelinedBytes = 64 * 1024;
// Once all bytes are sent, a closing connection is cut off after this time unless the caller closes
// it. Before that, BufferedConnection ends it if the caller takes no data.
constexpr core::Duration closeTimeout = std::chrono::seconds(1);

bool wantsClose(const Poco::Net::HTTPRequest &request)
{
    return Poco::icompare(request.get("Connection", ""), "close") == 0
            || request.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1;
}

RequestError toRequestError(HeadStatus status)
{
    if (status == HeadStatus::TooLarge)
        return RequestError::HeaderTooLarge;
    if (status == HeadStatus::UnsupportedVersion)
        return RequestError::UnsupportedVersion;
    return RequestError::Malformed;
}

} // namespace

ServerConnection::ServerConnection(EventLoop &eventLoop, RequestHandlerFactory &factory,
                                   const Poco::Net::StreamSocket &socket, ClosedHandler onClosed)
    : BufferedConnection(eventLoop, socket)
    , m_factory(factory)
    , m_onClosed(std::move(onClosed))
    , m_acceptedAt(eventLoop.now())
    , m_idleSince(eventLoop.now())
{
    if (ResponseBudget *budget = m_factory.responseBudget())
        m_unsentShare.emplace(*budget, ResponseBudget::Purpose::Unsent);
    armTimer();
}

ServerConnection::~ServerConnection()
{
    loop().cancel(m_timer);
}

void ServerConnection::onInput()
{
    if (m_isClosing) {
        input().clear();
        return;
    }
    if (!m_handler && m_headStartedAt.count() == 0 && !input().empty()) {
        m_headStartedAt = loop().now();
        armTimer();
    }
    readRequests();
    if (m_handler && m_isRequestComplete && input().size() > maxPipelinedBytes)
        setReading(false);
}

void ServerConnection::readRequests()
{
    while (isOpen() && !m_isClosing) {
        if (m_isResponseDone && m_isRequestComplete) {
            endRequest();
            continue;
        }
        if (!m_handler) {
            if (input().empty() || !readRequestHead())
                return;
            continue;
        }
        if (m_isRequestComplete)
            return;
        const std::size_t before = input().size();
        readRequestBody();
        const bool hasProgress = input().size() != before || m_isRequestComplete;
        if (!hasProgress)
            return;
    }
}

bool ServerConnection::readRequestHead()
{
    Poco::Net::HTTPRequest request;
    const HeadStatus status = m_headReader.read(input(), m_factory.limits().headerBytes, request);
    if (status == HeadStatus::Incomplete)
        return false;
    m_headStartedAt = core::Instant {0};
    if (status != HeadStatus::Complete) {
        rejectHead(toRequestError(status));
        return false;
    }
    startRequest(request);
    return true;
}

void ServerConnection::rejectHead(RequestError error)
{
    m_isHeadRequest = false;
    Poco::Net::HTTPRequest unreadable;
    unreadable.setMethod("");
    m_handler = m_factory.make(*this, unreadable, core::HttpBodyFraming {});
    rejectRequest(error);
}

void ServerConnection::rejectRequest(RequestError error)
{
    m_isPersistent = false;
    m_isRequestComplete = true;
    m_handler->onRequestError(error);
}

void ServerConnection::startRequest(const Poco::Net::HTTPRequest &request)
{
    const core::HttpBodyFraming framing = core::framingOf(request);
    m_isHeadRequest = request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
    m_supportsChunked = request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
    m_isPersistent = !wantsClose(request);
    m_isResponseDone = false;
    m_isRequestComplete = framing.kind == core::HttpBodyFraming::Kind::None;
    m_bodyDecoder = std::make_unique<BodyDecoder>(framing);
    loop().cancel(m_timer);
    m_handler = m_factory.make(*this, request, framing);
    const bool needsHost = m_supportsChunked && request.get("Host", "").empty();
    if (framing.kind == core::HttpBodyFraming::Kind::Malformed || needsHost) {
        rejectRequest(RequestError::Malformed);
        return;
    }
    m_handler->start();
    // A caller whose request was answered from the head alone is not asked to send the body.
    const bool isAwaited = !m_isRequestComplete && !m_isResponseDone && isOpen();
    if (isAwaited && Poco::icompare(request.get("Expect", ""), "100-continue") == 0)
        send("HTTP/1.1 100 Continue\r\n\r\n");
    if (m_isRequestComplete && !m_isResponseDone && isOpen())
        m_handler->onRequestEnd();
}

void ServerConnection::readRequestBody()
{
    std::string bytes;
    const BodyDecoder::Status status = m_bodyDecoder->decode(input(), bytes);
    if (status == BodyDecoder::Status::Malformed) {
        rejectRequest(RequestError::Malformed);
        return;
    }
    if (!bytes.empty() && !m_isResponseDone)
        m_handler->onRequestBody(std::move(bytes));
    if (status != BodyDecoder::Status::Done)
        return;
    m_isRequestComplete = true;
    if (!m_isResponseDone && isOpen())
        m_handler->onRequestEnd();
}

void ServerConnection::setRequestReading(bool reading)
{
    setReading(reading);
}

bool ServerConnection::hasBody(const HTTPResponse &response) const
{
    return !m_isHeadRequest && response.getStatus() != HTTPResponse::HTTP_NO_CONTENT
            && response.getStatus() != HTTPResponse::HTTP_NOT_MODIFIED;
}

void ServerConnection::setPersistence(HTTPResponse &response)
{
    // Reuse would require the caller to send the rest of a body that nobody reads.
    if (!m_isRequestComplete || m_factory.isLeaving())
        m_isPersistent = false;
    if (!m_isPersistent)
        response.set("Connection", "close");
}

void ServerConnection::sendResponse(HTTPResponse &response, std::string_view body)
{
    setPersistence(response);
    const bool isBodySent = hasBody(response);
    if (isBodySent && !response.has("Content-Length"))
        response.set("Content-Length", std::to_string(body.size()));
    std::string text = toText(response);
    if (isBodySent)
        text += body;
    send(text);
    finishResponse();
}

void ServerConnection::startResponse(HTTPResponse &response)
{
    m_hasResponseBody = hasBody(response);
    const bool hasUnknownLength = m_hasResponseBody && !response.has("Content-Length");
    m_isChunked = hasUnknownLength && m_supportsChunked;
    m_isCloseDelimited = hasUnknownLength && !m_supportsChunked;
    if (m_isCloseDelimited)
        m_isPersistent = false;
    setPersistence(response);
    if (m_isChunked)
        response.set("Transfer-Encoding", "chunked");
    send(toText(response));
}

void ServerConnection::sendPart(std::string_view bytes)
{
    if (bytes.empty() || !m_hasResponseBody)
        return;
    if (m_isChunked)
        send(toChunk(bytes));
    else
        send(bytes);
}

void ServerConnection::finishResponse()
{
    if (m_isChunked)
        send(toChunk({}));
    m_isChunked = false;
    m_isCloseDelimited = false;
    m_isResponseDone = true;
    m_idleSince = loop().now();
    // Sending may have failed, after which the connection is about to be destroyed.
    if (!isOpen())
        return;
    if (!m_isPersistent) {
        startClosing();
        return;
    }
    // Deferred, because the handler is still on the call stack.
    loop().defer([this, handler = m_handler.get()] {
        if (m_handler.get() == handler)
            readRequests();
    });
}

void ServerConnection::abortResponse()
{
    // After an orderly close, a body that ends with the connection would appear complete.
    if (m_isCloseDelimited)
        reset();
    else
        close();
    m_isResponseDone = true;
    notifyClosed();
}

void ServerConnection::endRequest()
{
    m_handler.reset();
    m_bodyDecoder.reset();
    m_isResponseDone = false;
    m_isRequestComplete = false;
    setReading(true);
    m_headStartedAt = input().empty() ? core::Instant {0} : loop().now();
    armTimer();
}

void ServerConnection::onOutputChanged()
{
    if (m_unsentShare)
        m_unsentShare->set(outputBytes());
}

void ServerConnection::onDrained()
{
    if (m_handler && !m_isResponseDone)
        m_handler->onResponseDrained();
}

void ServerConnection::onClosed(const std::string &reason)
{
    if (reason != peerClosed)
        m_factory.onConnectionFailed(reason, loop().now() - m_acceptedAt, unsentBytes());
    if (m_handler && !m_isResponseDone)
        m_handler->onCallerLeft();
    notifyClosed();
}

void ServerConnection::armTimer()
{
    const bool isInHead = m_headStartedAt.count() > 0;
    const ConnectionLimits limits = m_factory.limits();
    schedule(isInHead ? limits.headerTimeout : limits.idleTimeout);
}

void ServerConnection::schedule(core::Duration limit)
{
    loop().cancel(m_timer);
    m_unsentAtSchedule = unsentBytes();
    m_timer = loop().schedule(limit, [this] { onTimer(); });
}

void ServerConnection::onTimer()
{
    // A slow caller that is still receiving its response is not timed out.
    if (m_isClosing && unsentBytes() > 0) {
        schedule(closeTimeout);
        return;
    }
    if (unsentBytes() > 0 && unsentBytes() < m_unsentAtSchedule) {
        schedule(m_factory.limits().idleTimeout);
        return;
    }
    if (m_isClosing) {
        close();
        notifyClosed();
        return;
    }
    if (m_headStartedAt.count() == 0) {
        startClosing();
        return;
    }
    rejectHead(RequestError::HeaderTimeout);
}

void ServerConnection::startClosing()
{
    if (m_isClosing || !isOpen())
        return;
    m_isClosing = true;
    schedule(closeTimeout);
    closeGracefully();
}

void ServerConnection::notifyClosed()
{
    if (m_isNotified)
        return;
    m_isNotified = true;
    loop().cancel(m_timer);
    m_onClosed(*this);
}

} // namespace sardinehollow::network
