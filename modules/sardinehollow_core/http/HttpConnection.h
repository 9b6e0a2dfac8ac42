#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSession.h>
#include <Poco/Net/SocketAddress.h>

#include <string_view>

namespace sardinehollow::core {

/**
 * A blocking HTTP client connection. Unlike POCO's client session it never reconnects by itself, so
 * that a failed request has been sent at most once.
 */
class HttpConnection : public Poco::Net::HTTPSession
{
public:
    /** Connects to the address; throws Poco::Exception on failure or time-out. */
    HttpConnection(const Poco::Net::SocketAddress &address, Duration timeout);

    /** Sets the time-out of each later send and receive operation; the minimum is 1 ms. */
    void setTimeouts(Duration timeout);
    void sendHead(const Poco::Net::HTTPRequest &request);
    void send(std::string_view bytes);
    /**
     * Reads the head of the final response and skips up to 15 interim (1xx) responses. Throws
     * Poco::Exception if the head is truncated or more interim responses arrive.
     */
    void receiveHead(Poco::Net::HTTPResponse &response);
    /** Whether data is available or the server has closed the connection; does not block. */
    bool isReadable();

private:
    Duration m_timeout {0};
};

} // namespace sardinehollow::core
