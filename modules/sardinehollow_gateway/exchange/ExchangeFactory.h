#pragma once

#include "sardinehollow_gateway/exchange/GatewayServices.h"
#include "sardinehollow_network/server/RequestHandlerFactory.h"

namespace sardinehollow::gateway {

/** Creates an exchange for each request of the callers' listener. */
class ExchangeFactory : public network::RequestHandlerFactory
{
public:
    explicit ExchangeFactory(GatewayServices &services);

    std::shared_ptr<network::RequestHandler> make(network::ResponseSink &sink,
                                                  const Poco::Net::HTTPRequest &request,
                                                  core::HttpBodyFraming framing) override;
    network::ConnectionLimits limits() const override;
    bool isLeaving() const override { return m_services.isLeaving; }
    network::ResponseBudget *responseBudget() override { return &m_services.responseBudget; }
    void onConnectionFailed(const std::string &reason, core::Duration age,
                            std::size_t unsentBytes) override;

private:
    GatewayServices &m_services;
};

} // namespace sardinehollow::gateway
