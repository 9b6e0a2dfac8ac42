#pragma once

#include "sardinehollow_network/client/AttemptFailure.h"

#include <Poco/Net/HTTPResponse.h>

#include <string>

namespace sardinehollow::network {

/** Receives the course of one request on a connection to a server. */
class ResponseListener
{
public:
    virtual ~ResponseListener() = default;

    virtual void onResponseHead(const Poco::Net::HTTPResponse &response, bool hasKnownLength) = 0;
    virtual void onResponseBody(std::string &&bytes) = 0;
    /** The response was whole; no further call follows. */
    virtual void onResponseEnd() = 0;
    /** No further call follows. */
    virtual void onAttemptFailed(AttemptFailure failure, const std::string &detail) = 0;
    /** The server takes bytes again. */
    virtual void onRequestDrained() = 0;
};

} // namespace sardinehollow::network
