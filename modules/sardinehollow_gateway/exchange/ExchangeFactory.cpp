#include "sardinehollow_gateway/exchange/ExchangeFactory.h"

#include "sardinehollow_gateway/exchange/Exchange.h"

namespace sardinehollow::gateway {

ExchangeFactory::ExchangeFactory(GatewayServices &services)
    : m_services(services)
{ }

std::shared_ptr<network::RequestHandler>
ExchangeFactory::make(network::ResponseSink &sink, const Poco::Net::HTTPRequest &request,
                      core::HttpBodyFraming framing)
{
    return std::make_shared<Exchange>(m_services, sink, request, framing);
}

network::ConnectionLimits ExchangeFactory::limits() const
{
    const routing::RouteTablePtr &table = m_services.routing.table();
    const routing::CallerLimits limits
            = table ? table->configuration().limits : routing::CallerLimits {};
    return {limits.headerBytes, limits.headerTimeout, limits.idleTimeout};
}

void ExchangeFactory::onConnectionFailed(const std::string &reason, core::Duration age,
                                         std::size_t unsentBytes)
{
    m_services.metrics.countCallerConnectionFailure();
    m_services.log.writeRequestWith(
            [&] {
                return logging::LogLine("caller-connection-failed")
                        .text("error", reason)
                        .milliseconds("age", age)
                        .number("unsentBytes", static_cast<std::int64_t>(unsentBytes));
            },
            m_services.loop.now());
}

} // namespace sardinehollow::gateway
