#pragma once

#include "sardinehollow_entry/handlers/EntryContext.h"
#include "sardinehollow_network/server/RequestHandlerFactory.h"

namespace sardinehollow::entry {

/** Makes the handlers of the caller listener, or of the forward listener for peers. */
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
