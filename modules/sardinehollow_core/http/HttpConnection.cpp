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

constexpr int interimResponses = 16;

Poco::Timespan toTimespan(Duration duration)
{
    // A socket takes 0 as no limit.
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
    for (int count = 0; count < interimResponses; ++count) {
        response.clear();
        Poco::Net::HTTPHeaderInputStream stream(*this);
        response.read(stream);
        // POCO takes a head that was cut for a whole one.
        if (stream.eof())
            throw Poco::Net::MessageException("the head of the response is not whole");
        if (response.getStatus() >= HTTPResponse::HTTP_OK)
            return;
    }
    throw Poco::Net::MessageException("too many interim responses");
}

bool HttpConnection::isReadable()
{
    return SessionAccess::bufferedBytes(*this) > 0 || waitReadable(socket(), Duration(0));
}

} // namespace sardinehollow::core
