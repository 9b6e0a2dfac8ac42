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

/** One request of a caller as its attempts see it. */
struct Exchange
{
    Exchange(const Poco::Net::HTTPRequest &callerRequest, core::HttpBodyFraming bodyFraming,
             std::shared_ptr<const config::Configuration> inForce, const config::WorkKind &workKind,
             network::ResponseSink &sink)
        : request(callerRequest)
        , framing(bodyFraming)
        , configuration(std::move(inForce))
        , kind(workKind)
        , caller(&sink)
    { }

    Poco::Net::HTTPRequest request;
    /** Name of the request in the logs and for its caller. */
    std::string requestId;
    core::HttpBodyFraming framing;
    /** In force when the request arrived; keeps the work kind alive. */
    std::shared_ptr<const config::Configuration> configuration;
    const config::WorkKind &kind;
    /** Where the response goes; nullptr once the caller has its answer or has left. */
    network::ResponseSink *caller;
    policy::RequestOffer offer;
    /** The request's body, or its start if isBodyStreamed. */
    std::string body;
    std::uint64_t bodyBytes = 0;
    /** Whether the caller has sent all of its body. */
    bool isBodyWhole = false;
    /** The body is too large to be kept and is passed on as it arrives. */
    bool isBodyStreamed = false;
    /** Parts of the body that are not kept were sent, so that no other attempt can send them. */
    bool isBodyGone = false;
    std::uint32_t attempts = 0;
    PartialDownload download;
};

} // namespace sardinehollow::entry
