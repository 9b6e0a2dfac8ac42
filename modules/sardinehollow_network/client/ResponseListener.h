#pragma once

#include "sardinehollow_network/client/AttemptFailure.h"

#include <Poco/Net/HTTPResponse.h>

#include <string>

namespace sardinehollow::network {

/** Receives the events of one request on a client connection. */
class ResponseListener
{
public:
    virtual ~ResponseListener() = default;

    virtual void onResponseHead(const Poco::Net::HTTPResponse &response, bool hasKnownLength) = 0;
    virtual void onResponseBody(std::string &&bytes) = 0;
    /** The response is complete; no further call follows. */
    virtual void onResponseEnd() = 0;
    /** The attempt failed without a complete response; no further call follows. */
    virtual void onAttemptFailed(AttemptFailure failure, const std::string &detail) = 0;
    /** All queued request bytes have been sent, so more of the body may follow. */
    virtual void onRequestDrained() = 0;
};

} // namespace sardinehollow::network
