#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSession.h>
#include <Poco/Net/SocketAddress.h>

#include <string_view>

namespace sardinehollow::core {

/**
 * One blocking client connection. Unlike POCO's client session it never connects a second time by
 * itself, so that a failed request was sent once at most.
 */
class HttpConnection : public Poco::Net::HTTPSession
{
public:
    /** Connects; throws Poco::Exception if that fails. */
    HttpConnection(const Poco::Net::SocketAddress &address, Duration timeout);

    /** Limits each later wait for the server. */
    void setTimeouts(Duration timeout);
    void sendHead(const Poco::Net::HTTPRequest &request);
    void send(std::string_view bytes);
    /** Reads the head of the final response; interim responses are skipped. */
    void receiveHead(Poco::Net::HTTPResponse &response);
    /** Whether the server has sent something or has closed the connection. */
    bool isReadable();

private:
    Duration m_timeout {0};
};

} // namespace sardinehollow::core
