#pragma once

#include "sardinehollow_network/server/RequestFault.h"

#include <string>

namespace sardinehollow::network {

/** Receives one request of a connection and answers it through the sink that it was made with. */
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /** The head is complete; the body follows, unless the request is answered here. */
    virtual void start() = 0;
    virtual void onRequestBody(std::string && /*bytes*/) { }
    /** The request is whole and has no answer yet. */
    virtual void onRequestEnd() { }
    /** The request cannot be read on; it is to be refused. Comes without start() for a bad head. */
    virtual void onFault(RequestFault fault) = 0;
    /** The caller took what was sent to it. */
    virtual void onResponseDrained() { }
    /** The caller left before its response was whole; the sink must not be used any more. */
    virtual void onCallerLeft() { }
};

} // namespace sardinehollow::network
