#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_core/http/HttpBodyFraming.h"
#include "sardinehollow_entry/exchange/PartialDownload.h"
#include "sardinehollow_network/server/ResponseSink.h"
#include "sardinehollow_policy/facade/RequestOffer.h"

#include <Poco/Net/HTTPRequest.h>

#include <cstdint>
#include <memory>
#include <string>

namespace sardinehollow::entry {

/** State of one request that is shared with its forwarding attempts. */
struct RequestContext
{
    RequestContext(const Poco::Net::HTTPRequest &callerRequest, core::HttpBodyFraming bodyFraming,
                   std::shared_ptr<const config::Configuration> activeConfiguration,
                   const config::WorkKind &workKind, network::ResponseSink &sink)
        : request(callerRequest)
        , framing(bodyFraming)
        , configuration(std::move(activeConfiguration))
        , kind(workKind)
        , caller(&sink)
    { }

    Poco::Net::HTTPRequest request;
    /** Request id in the logs and in the response to the caller. */
    std::string requestId;
    core::HttpBodyFraming framing;
    /** The configuration that was active when the request arrived; it owns the work kind. */
    std::shared_ptr<const config::Configuration> configuration;
    const config::WorkKind &kind;
    /** Where the response is sent; nullptr once the response is complete or the caller has left. */
    network::ResponseSink *caller;
    policy::RequestOffer offer;
    /** The buffered request body; only its beginning if isBodyStreamed. */
    std::string body;
    /** Bytes of the request body received so far. */
    std::uint64_t bodyBytes = 0;
    /** Whether the complete request body has been received. */
    bool isBodyComplete = false;
    /** The body is too large to be buffered and is forwarded as it arrives. */
    bool isBodyStreamed = false;
    /** Parts of the body were forwarded without being buffered, so no attempt can repeat them. */
    bool isBodyDiscarded = false;
    std::uint32_t attempts = 0;
    PartialDownload download;
};

} // namespace sardinehollow::entry
