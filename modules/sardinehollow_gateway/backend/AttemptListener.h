#pragma once

#include <Poco/Net/HTTPResponse.h>

#include <string>

namespace sardinehollow::gateway {

/** Why an attempt ended without a whole response. */
enum class AttemptFailure {
    /** No connection was made, so that the request cannot have run. */
    NotConnected,
    /** The connection ended or the response was cut; the request may have run. */
    Broken,
    /** The server sent what is no response to the request; it may have run. */
    InvalidResponse,
};

/** Receives the course of one request on a connection to a backend server. */
class AttemptListener
{
public:
    virtual ~AttemptListener() = default;

    virtual void onResponseHead(const Poco::Net::HTTPResponse &response, bool hasKnownLength) = 0;
    virtual void onResponseBody(std::string &&bytes) = 0;
    /** The response was whole; no further call follows. */
    virtual void onResponseEnd() = 0;
    /** No further call follows. */
    virtual void onAttemptFailed(AttemptFailure failure, const std::string &detail) = 0;
    /** The server takes bytes again. */
    virtual void onRequestDrained() = 0;
};

} // namespace sardinehollow::gateway
