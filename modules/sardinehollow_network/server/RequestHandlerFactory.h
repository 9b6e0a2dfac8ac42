#pragma once

#include "sardinehollow_core/http/HttpBodyFraming.h"
#include "sardinehollow_network/server/ConnectionLimits.h"
#include "sardinehollow_network/server/RequestHandler.h"
#include "sardinehollow_network/server/ResponseSink.h"

#include <Poco/Net/HTTPRequest.h>

#include <memory>

namespace sardinehollow::network {

/** Makes the handlers of a listener's requests. */
class RequestHandlerFactory
{
public:
    virtual ~RequestHandlerFactory() = default;

    /** The request has no method if its head could not be read. */
    virtual std::shared_ptr<RequestHandler>
    make(ResponseSink &sink, const Poco::Net::HTTPRequest &request, core::HttpBodyFraming framing)
            = 0;
    virtual ConnectionLimits limits() const = 0;
    /** Whether connections are to end with their next response. */
    virtual bool isLeaving() const = 0;
};

} // namespace sardinehollow::network
