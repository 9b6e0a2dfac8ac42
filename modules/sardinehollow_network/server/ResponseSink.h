#pragma once

#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace sardinehollow::network {

/** Where the response to one request goes: the caller's connection. */
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;

    /** Sends a whole response; no further call follows. */
    virtual void sendResponse(Poco::Net::HTTPResponse &response, std::string_view body) = 0;
    /** Starts a response whose body follows in parts; chunked unless it states its length. */
    virtual void startResponse(Poco::Net::HTTPResponse &response) = 0;
    virtual void sendPart(std::string_view bytes) = 0;
    /** The body that was started is whole; no further call follows. */
    virtual void finishResponse() = 0;
    /** Closes the connection, so that a response that was started does not look whole. */
    virtual void abortResponse() = 0;
    /** Bytes that the caller has not taken yet. */
    virtual std::size_t unsentResponseBytes() const = 0;
    /** Stops or resumes reading the request's body. */
    virtual void setRequestReading(bool reading) = 0;
    /** IP address of the caller; empty if it has left. */
    virtual std::string peerHost() const = 0;
};

} // namespace sardinehollow::network
