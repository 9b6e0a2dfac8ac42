#pragma once

#include "sardinehollow_core/http/HttpBodyFraming.h"
#include "sardinehollow_network/server/ConnectionLimits.h"
#include "sardinehollow_network/server/RequestHandler.h"
#include "sardinehollow_network/server/ResponseBudget.h"
#include "sardinehollow_network/server/ResponseSink.h"

#include <Poco/Net/HTTPRequest.h>

#include <cstddef>
#include <memory>
#include <string>

namespace sardinehollow::network {

/** Creates the handlers for a listener's requests. */
class RequestHandlerFactory
{
public:
    virtual ~RequestHandlerFactory() = default;

    /** Creates the handler of a request. The method is empty if the head could not be read. */
    virtual std::shared_ptr<RequestHandler>
    make(ResponseSink &sink, const Poco::Net::HTTPRequest &request, core::HttpBodyFraming framing)
            = 0;
    virtual ConnectionLimits limits() const = 0;
    /** Whether the process is leaving, so that connections close after their next response. */
    virtual bool isLeaving() const = 0;
    /** Counts the responses that wait to be sent; null if they are not counted. */
    virtual ResponseBudget *responseBudget() { return nullptr; }
    /**
     * A connection of that age ended otherwise than by an orderly close of the caller. Unsent are
     * the bytes that the system had not taken yet.
     */
    virtual void onConnectionFailed(const std::string & /*reason*/, core::Duration /*age*/,
                                    std::size_t /*unsentBytes*/)
    { }
};

} // namespace sardinehollow::network
