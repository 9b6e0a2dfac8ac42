#include "sardinehollow_gateway/caller/CallerConnection.h"

#include "sardinehollow_gateway/http/HeadReader.h"
#include "sardinehollow_gateway/http/MessageWriter.h"

#include <Poco/String.h>

namespace sardinehollow::gateway {

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

} // namespace

CallerConnection::CallerConnection(GatewayServices &services, const Poco::Net::StreamSocket &socket,
                                   ClosedHandler onClosed)
    : BufferedConnection(services.loop, socket)
    , m_services(services)
    , m_onClosed(std::move(onClosed))
    , m_quietSince(services.loop.now())
{
    armTimer();
}

CallerConnection::~CallerConnection()
{
    loop().cancel(m_timer);
}

routing::CallerLimits CallerConnection::limits() const
{
    const routing::RouteTablePtr &table = m_services.routing.table();
    return table ? table->configuration().limits : routing::CallerLimits {};
}

void CallerConnection::onInput()
{
    if (m_isClosing) {
        input().clear();
        return;
    }
    if (!m_exchange && m_headSince.count() == 0 && !input().empty()) {
        m_headSince = loop().now();
        armTimer();
    }
    readRequests();
    if (m_exchange && m_isBodyWhole && input().size() > mostBytesAhead)
        setReading(false);
}

void CallerConnection::readRequests()
{
    while (isOpen() && !m_isClosing) {
        if (m_isResponseDone && m_isBodyWhole) {
            endExchange();
            continue;
        }
        if (!m_exchange) {
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

bool CallerConnection::readRequestHead()
{
    Poco::Net::HTTPRequest request;
    const HeadStatus status = readHead(input(), limits().headerBytes, request);
    if (status == HeadStatus::Incomplete)
        return false;
    m_headSince = core::Instant {0};
    if (status != HeadStatus::Complete) {
        rejectHead(status);
        return false;
    }
    startExchange(request);
    return true;
}

void CallerConnection::rejectHead(HeadStatus status)
{
    m_isPersistent = false;
    m_isBodyWhole = true;
    m_exchange = std::make_unique<Exchange>(m_services, *this, Poco::Net::HTTPRequest(),
                                            core::HttpBodyFraming {});
    const bool isTooLarge = status == HeadStatus::TooLarge;
    m_exchange->refuse(isTooLarge ? RequestOutcome::HeaderTooLarge : RequestOutcome::Malformed,
                       "the head of the request is not acceptable");
}

void CallerConnection::startExchange(const Poco::Net::HTTPRequest &request)
{
    const core::HttpBodyFraming framing = core::framingOf(request);
    m_isPersistent = !wantsClose(request);
    m_isResponseDone = false;
    m_isBodyWhole = framing.kind == core::HttpBodyFraming::Kind::None;
    m_bodyDecoder = std::make_unique<BodyDecoder>(framing);
    loop().cancel(m_timer);
    m_exchange = std::make_unique<Exchange>(m_services, *this, request, framing);
    if (framing.kind == core::HttpBodyFraming::Kind::Malformed
        || Poco::icompare(request.get("Host", ""), "") == 0) {
        m_isPersistent = false;
        m_isBodyWhole = true;
        m_exchange->refuse(RequestOutcome::Malformed, "the framing or the host is not clear");
        return;
    }
    if (Poco::icompare(request.get("Expect", ""), "100-continue") == 0)
        send("HTTP/1.1 100 Continue\r\n\r\n");
    m_exchange->start();
    if (m_isBodyWhole && !m_isResponseDone)
        m_exchange->onRequestEnd();
}

void CallerConnection::readRequestBody()
{
    std::string bytes;
    const BodyDecoder::Status status = m_bodyDecoder->decode(input(), bytes);
    if (status == BodyDecoder::Status::Malformed) {
        m_isPersistent = false;
        m_isBodyWhole = true;
        m_exchange->refuse(RequestOutcome::Malformed, "the body is not framed correctly");
        return;
    }
    if (!bytes.empty())
        m_exchange->onRequestBody(std::move(bytes));
    if (status != BodyDecoder::Status::Done)
        return;
    m_isBodyWhole = true;
    if (!m_isResponseDone)
        m_exchange->onRequestEnd();
}

void CallerConnection::setRequestReading(bool reading)
{
    setReading(reading);
}

void CallerConnection::setPersistence(HTTPResponse &response)
{
    // A caller that is still sending its body would have to send all of it for nothing.
    if (!m_isBodyWhole || m_services.isLeaving)
        m_isPersistent = false;
    if (!m_isPersistent)
        response.set("Connection", "close");
}

void CallerConnection::sendResponse(HTTPResponse &response, std::string_view body)
{
    setPersistence(response);
    const bool hasBody = response.getStatus() != HTTPResponse::HTTP_NO_CONTENT
            && response.getStatus() != HTTPResponse::HTTP_NOT_MODIFIED;
    if (hasBody && !response.has("Content-Length"))
        response.set("Content-Length", std::to_string(body.size()));
    std::string text = toText(response);
    text += body;
    send(text);
    finishResponse();
}

void CallerConnection::startResponse(HTTPResponse &response)
{
    setPersistence(response);
    m_isChunked = !response.has("Content-Length");
    if (m_isChunked)
        response.set("Transfer-Encoding", "chunked");
    send(toText(response));
}

void CallerConnection::sendPart(std::string_view bytes)
{
    if (bytes.empty())
        return;
    if (m_isChunked)
        send(toChunk(bytes));
    else
        send(bytes);
}

void CallerConnection::finishResponse()
{
    if (m_isChunked)
        send(toChunk({}));
    m_isChunked = false;
    m_isResponseDone = true;
    m_quietSince = loop().now();
    if (!m_isPersistent) {
        closeSoon();
        return;
    }
    // The exchange is still on the call stack.
    loop().defer([this, exchange = m_exchange.get()] {
        if (m_exchange.get() == exchange)
            readRequests();
    });
}

void CallerConnection::abortResponse()
{
    close();
    notifyClosed();
}

void CallerConnection::endExchange()
{
    m_exchange.reset();
    m_bodyDecoder.reset();
    m_isResponseDone = false;
    m_isBodyWhole = false;
    setReading(true);
    m_headSince = input().empty() ? core::Instant {0} : loop().now();
    armTimer();
}

void CallerConnection::onDrained()
{
    if (m_exchange && !m_isResponseDone)
        m_exchange->onResponseDrained();
}

void CallerConnection::onClosed(const std::string & /*reason*/)
{
    if (m_exchange && !m_isResponseDone)
        m_exchange->cancel();
    notifyClosed();
}

void CallerConnection::armTimer()
{
    loop().cancel(m_timer);
    const bool isInHead = m_headSince.count() > 0;
    const core::Duration limit = isInHead ? limits().headerTimeout : limits().idleTimeout;
    m_timer = loop().schedule(limit, [this] { onTimer(); });
}

void CallerConnection::onTimer()
{
    if (m_isClosing) {
        close();
        notifyClosed();
        return;
    }
    if (m_headSince.count() == 0) {
        closeSoon();
        return;
    }
    m_isPersistent = false;
    m_isBodyWhole = true;
    m_exchange = std::make_unique<Exchange>(m_services, *this, Poco::Net::HTTPRequest(),
                                            core::HttpBodyFraming {});
    m_exchange->refuse(RequestOutcome::RequestTimeout, "the head did not arrive in time");
}

void CallerConnection::closeSoon()
{
    if (m_isClosing || !isOpen())
        return;
    m_isClosing = true;
    loop().cancel(m_timer);
    m_timer = loop().schedule(closingTime, [this] { onTimer(); });
    closeGracefully();
}

void CallerConnection::notifyClosed()
{
    if (m_isNotified)
        return;
    m_isNotified = true;
    loop().cancel(m_timer);
    m_onClosed(*this);
}

} // namespace sardinehollow::gateway
