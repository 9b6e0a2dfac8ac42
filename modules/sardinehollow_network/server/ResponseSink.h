#pragma once

#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace sardinehollow::network {

/** Receives the response to one request and sends it on the caller's connection. */
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;

    /** Sends a complete response; no further call follows. */
    virtual void sendResponse(Poco::Net::HTTPResponse &response, std::string_view body) = 0;
    /** Starts a response whose body follows in parts; chunked if it has no Content-Length. */
    virtual void startResponse(Poco::Net::HTTPResponse &response) = 0;
    virtual void sendPart(std::string_view bytes) = 0;
    /** Ends a response begun with startResponse(); no further call follows. */
    virtual void finishResponse() = 0;
    /** Closes the connection, so that a truncated response does not appear complete. */
    virtual void abortResponse() = 0;
    /** Bytes of responses that wait to be sent to the caller. */
    virtual std::size_t unsentResponseBytes() const = 0;
    /** Pauses or resumes reading the request's body. */
    virtual void setRequestReading(bool reading) = 0;
    /**
     * Whether the caller has closed the connection or reset it, also if bytes that it sent before
     * are still unread.
     */
    virtual bool hasCallerLeft() const = 0;
    /** IP address of the caller; empty if it has disconnected. */
    virtual std::string peerHost() const = 0;
};

} // namespace sardinehollow::network
