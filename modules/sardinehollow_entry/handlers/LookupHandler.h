#pragma once

#include "sardinehollow_entry/handlers/EntryServices.h"
#include "sardinehollow_network/server/RequestHandler.h"
#include "sardinehollow_network/server/ResponseSink.h"

#include <Poco/Net/HTTPRequest.h>

namespace sardinehollow::entry {

/** Handles GET /v1/entries: looks up the entry VMs that a caller should use. */
class LookupHandler : public network::RequestHandler
{
public:
    LookupHandler(EntryServices &services, network::ResponseSink &caller,
                  const Poco::Net::HTTPRequest &request);

    void start() override;
    void onRequestError(network::RequestError error) override;

private:
    EntryServices &m_services;
    network::ResponseSink &m_caller;
    const Poco::Net::HTTPRequest m_request;
};

} // namespace sardinehollow::entry
