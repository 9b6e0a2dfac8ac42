#include "sardinehollow_network/server/ServerConnection.h"

#include "sardinehollow_network/http/MessageWriter.h"

#include <Poco/String.h>

namespace sardinehollow::network {

namespace {

using Poco::Net::HTTPResponse;

// Bytes of later requests that a caller may send ahead before it is no longer read.
constexpr std::size_t mostBytesAhead = 64 * 1024;
// A caller that does not close a connection that was ended is cut off.
constexpr core::Duration closingTime = std::chrono::seconds(1);

bool wantsClose(const Poco::Net::HTTPRequest &request)
{
    return Poco::icompare(request.get("Connection", ""), "close") == 0
            || request.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1;
}

RequestFault toFault(HeadStatus status)
{
    if (status == HeadStatus::TooLarge)
        return RequestFault::HeaderTooLarge;
    if (status == HeadStatus::UnsupportedVersion)
        return RequestFault::UnsupportedVersion;
    return RequestFault::Malformed;
}

} // namespace

ServerConnection::ServerConnection(EventLoop &eventLoop, RequestHandlerFactory &factory,
                                   const Poco::Net::StreamSocket &socket, ClosedHandler onClosed)
    : BufferedConnection(eventLoop, socket)
    , m_factory(factory)
    , m_onClosed(std::move(onClosed))
    , m_quietSince(eventLoop.now())
{
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
    if (!m_handler && m_headSince.count() == 0 && !input().empty()) {
        m_headSince = loop().now();
        armTimer();
    }
    readRequests();
    if (m_handler && m_isBodyWhole && input().size() > mostBytesAhead)
        setReading(false);
}

void ServerConnection::readRequests()
{
    while (isOpen() && !m_isClosing) {
        if (m_isResponseDone && m_isBodyWhole) {
            endRequest();
            continue;
        }
        if (!m_handler) {
            if (input().empty() || !readRequestHead())
                return;
            continue;
        }
        if (m_isBodyWhole)
            return;
        const std::size_t before = input().size();
        readRequestBody();
        const bool hasProgress = input().size() != before || m_isBodyWhole;
        if (!hasProgress)
            return;
    }
}

bool ServerConnection::readRequestHead()
{
    Poco::Net::HTTPRequest request;
    const HeadStatus status = readHead(input(), m_factory.limits().headerBytes, request);
    if (status == HeadStatus::Incomplete)
        return false;
    m_headSince = core::Instant {0};
    if (status != HeadStatus::Complete) {
        rejectHead(toFault(status));
        return false;
    }
    startRequest(request);
    return true;
}

void ServerConnection::rejectHead(RequestFault fault)
{
    m_isHeadRequest = false;
    Poco::Net::HTTPRequest unreadable;
    unreadable.setMethod("");
    m_handler = m_factory.make(*this, unreadable, core::HttpBodyFraming {});
    rejectRequest(fault);
}

void ServerConnection::rejectRequest(RequestFault fault)
{
    m_isPersistent = false;
    m_isBodyWhole = true;
    m_handler->onFault(fault);
}

void ServerConnection::startRequest(const Poco::Net::HTTPRequest &request)
{
    const core::HttpBodyFraming framing = core::framingOf(request);
    m_isHeadRequest = request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
    m_allowsChunks = request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
    m_isPersistent = !wantsClose(request);
    m_isResponseDone = false;
    m_isBodyWhole = framing.kind == core::HttpBodyFraming::Kind::None;
    m_bodyDecoder = std::make_unique<BodyDecoder>(framing);
    loop().cancel(m_timer);
    m_handler = m_factory.make(*this, request, framing);
    const bool needsHost = m_allowsChunks && request.get("Host", "").empty();
    if (framing.kind == core::HttpBodyFraming::Kind::Malformed || needsHost) {
        rejectRequest(RequestFault::Malformed);
        return;
    }
    m_handler->start();
    // A caller whose request was answered from its head keeps its body.
    const bool isAwaited = !m_isBodyWhole && !m_isResponseDone && isOpen();
    if (isAwaited && Poco::icompare(request.get("Expect", ""), "100-continue") == 0)
        send("HTTP/1.1 100 Continue\r\n\r\n");
    if (m_isBodyWhole && !m_isResponseDone && isOpen())
        m_handler->onRequestEnd();
}

void ServerConnection::readRequestBody()
{
    std::string bytes;
    const BodyDecoder::Status status = m_bodyDecoder->decode(input(), bytes);
    if (status == BodyDecoder::Status::Malformed) {
        rejectRequest(RequestFault::Malformed);
        return;
    }
    if (!bytes.empty() && !m_isResponseDone)
        m_handler->onRequestBody(std::move(bytes));
    if (status != BodyDecoder::Status::Done)
        return;
    m_isBodyWhole = true;
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
    // A caller that is still sending its body would have to send all of it for nothing.
    if (!m_isBodyWhole || m_factory.isLeaving())
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
    m_isBodySent = hasBody(response);
    const bool hasOpenEnd = m_isBodySent && !response.has("Content-Length");
    m_isChunked = hasOpenEnd && m_allowsChunks;
    m_isUntilClose = hasOpenEnd && !m_allowsChunks;
    if (m_isUntilClose)
        m_isPersistent = false;
    setPersistence(response);
    if (m_isChunked)
        response.set("Transfer-Encoding", "chunked");
    send(toText(response));
}

void ServerConnection::sendPart(std::string_view bytes)
{
    if (bytes.empty() || !m_isBodySent)
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
    m_isUntilClose = false;
    m_isResponseDone = true;
    m_quietSince = loop().now();
    if (!m_isPersistent) {
        closeSoon();
        return;
    }
    // The handler is still on the call stack.
    loop().defer([this, handler = m_handler.get()] {
        if (m_handler.get() == handler)
            readRequests();
    });
}

void ServerConnection::abortResponse()
{
    // An orderly end would make a body without a length look whole.
    if (m_isUntilClose)
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
    m_isBodyWhole = false;
    setReading(true);
    m_headSince = input().empty() ? core::Instant {0} : loop().now();
    armTimer();
}

void ServerConnection::onDrained()
{
    if (m_handler && !m_isResponseDone)
        m_handler->onResponseDrained();
}

void ServerConnection::onClosed(const std::string & /*reason*/)
{
    if (m_handler && !m_isResponseDone)
        m_handler->onCallerLeft();
    notifyClosed();
}

void ServerConnection::armTimer()
{
    const bool isInHead = m_headSince.count() > 0;
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
    // A slow caller is still taking its response.
    if (unsentBytes() > 0 && unsentBytes() < m_unsentAtSchedule) {
        schedule(m_isClosing ? closingTime : m_factory.limits().idleTimeout);
        return;
    }
    if (m_isClosing) {
        close();
        notifyClosed();
        return;
    }
    if (m_headSince.count() == 0) {
        closeSoon();
        return;
    }
    rejectHead(RequestFault::HeaderTimeout);
}

void ServerConnection::closeSoon()
{
    if (m_isClosing || !isOpen())
        return;
    m_isClosing = true;
    schedule(closingTime);
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
