#pragma once

#include "sardinehollow_network/server/RequestError.h"

#include <string>

namespace sardinehollow::network {

/** Handles one request of a connection and responds through the sink it was created with. */
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /** The head is complete. The body follows, unless the handler responds in this call. */
    virtual void start() = 0;
    virtual void onRequestBody(std::string && /*bytes*/) { }
    /** The request is complete and has no response yet. */
    virtual void onRequestEnd() { }
    /** The request is invalid and must be refused. For an invalid head, start() is not called. */
    virtual void onRequestError(RequestError error) = 0;
    /** All queued response bytes have been sent to the caller. */
    virtual void onResponseDrained() { }
    /** The caller disconnected before its response was complete; the sink is no longer valid. */
    virtual void onCallerLeft() { }
};

} // namespace sardinehollow::network
