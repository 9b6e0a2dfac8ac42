#include "sardinehollow_core/http/HttpConnection.h"

#include "sardinehollow_core/http/SessionAccess.h"
#include "sardinehollow_core/http/SocketOptions.h"
#include "sardinehollow_core/http/SocketWait.h"

#include <Poco/Net/HTTPHeaderStream.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <sstream>

namespace sardinehollow::core {

namespace {

constexpr int maximumHeaderFields = 100;
constexpr int maximumResponseHeads = 16;

Poco::Timespan toTimespan(Duration duration)
{
    // Sockets interpret a time-out of 0 as no time-out.
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(duration);
    return {static_cast<Poco::Timespan::TimeDiff>(
            std::max<std::int64_t>(microseconds.count(), 1000))};
}

} // namespace

HttpConnection::HttpConnection(const Poco::Net::SocketAddress &address, Duration timeout)
{
    Poco::Net::StreamSocket connected;
    connected.connect(address, toTimespan(timeout));
    configureSocket(connected);
    limitAcknowledgementTime(connected);
    attachSocket(connected);
}

void HttpConnection::setTimeouts(Duration timeout)
{
    if (timeout == m_timeout)
        return;
    m_timeout = timeout;
    socket().setSendTimeout(toTimespan(timeout));
    socket().setReceiveTimeout(toTimespan(timeout));
}

void HttpConnection::sendHead(const Poco::Net::HTTPRequest &request)
{
    std::ostringstream head;
    request.write(head);
    send(head.str());
}

void HttpConnection::send(std::string_view bytes)
{
    SessionAccess::sendAll(*this, bytes.data(), bytes.size());
}

void HttpConnection::receiveHead(Poco::Net::HTTPResponse &response)
{
    using Poco::Net::HTTPResponse;
    for (int count = 0; count < maximumResponseHeads; ++count) {
        response.clear();
        response.setFieldLimit(maximumHeaderFields);
        Poco::Net::HTTPHeaderInputStream stream(*this);
        response.read(stream);
        // POCO does not report a truncated message head.
        if (stream.eof())
            throw Poco::Net::MessageException("the connection closed within the response head");
        if (response.getStatus() >= HTTPResponse::HTTP_OK)
            return;
    }
    throw Poco::Net::MessageException("too many interim (1xx) responses before the final one");
}

bool HttpConnection::isReadable()
{
    return SessionAccess::bufferedBytes(*this) > 0 || waitReadable(socket(), Duration(0));
}

} // namespace sardinehollow::core
