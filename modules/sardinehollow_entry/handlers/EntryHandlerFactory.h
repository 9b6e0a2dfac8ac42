#pragma once

#include "sardinehollow_entry/handlers/EntryContext.h"
#include "sardinehollow_network/server/RequestHandlerFactory.h"

namespace sardinehollow::entry {

/** Creates request handlers for the caller listener or for the forward listener (fromPeer). */
class EntryHandlerFactory : public network::RequestHandlerFactory
{
public:
    EntryHandlerFactory(EntryContext &context, core::Duration idleTimeout, bool fromPeer);

    std::shared_ptr<network::RequestHandler> make(network::ResponseSink &sink,
                                                  const Poco::Net::HTTPRequest &request,
                                                  core::HttpBodyFraming framing) override;
    network::ConnectionLimits limits() const override;
    bool isLeaving() const override { return m_context.services.leaving; }

private:
    EntryContext &m_context;
    const core::Duration m_idleTimeout;
    const bool m_fromPeer;
};

} // namespace sardinehollow::entry
