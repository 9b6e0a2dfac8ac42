#include "sardinehollow_entry/handlers/EntryHandlerFactory.h"

#include "sardinehollow_entry/exchange/RequestIdHeader.h"
#include "sardinehollow_entry/handlers/LookupHandler.h"
#include "sardinehollow_entry/handlers/RefusalHandler.h"
#include "sardinehollow_entry/handlers/WorkExchange.h"
#include "sardinehollow_entry/handlers/WorkKindMatch.h"

namespace sardinehollow::entry {

namespace {

constexpr std::size_t maxHeadBytes = 64 * 1024;
// A head fits into a few packets. A caller that takes longer is either unreachable or occupies
// memory on purpose (slowloris).
constexpr core::Duration headTimeout = std::chrono::seconds(10);

} // namespace

EntryHandlerFactory::EntryHandlerFactory(EntryContext &context, core::Duration idleTimeout,
                                         bool fromPeer)
    : m_context(context)
    , m_idleTimeout(idleTimeout)
    , m_fromPeer(fromPeer)
{ }

std::shared_ptr<network::RequestHandler>
EntryHandlerFactory::make(network::ResponseSink &sink, const Poco::Net::HTTPRequest &request,
                          core::HttpBodyFraming framing)
{
    const std::string &uri = request.getURI();
    const bool isLookup = uri == "/v1/entries" || uri.rfind("/v1/entries?", 0) == 0;
    if (isLookup && !m_fromPeer)
        return std::make_shared<LookupHandler>(m_context.services, sink, request);
    const std::shared_ptr<const config::Configuration> configuration
            = m_context.services.policy.configuration();
    const config::WorkKind *kind
            = configuration ? matchWorkKind(*configuration, request.getMethod(), uri) : nullptr;
    if (kind != nullptr)
        return std::make_shared<WorkExchange>(m_context, sink, request, framing, configuration,
                                              *kind, m_fromPeer);
    Problem problem;
    problem.requestId = requestIdOf(request, m_context.services);
    problem.reason = policy::RefusalReason::NoConfiguration;
    if (configuration) {
        problem.generation = configuration->generation;
        problem.status = Poco::Net::HTTPResponse::HTTP_NOT_FOUND;
        problem.reason = policy::RefusalReason::UnknownWorkKind;
    }
    return std::make_shared<RefusalHandler>(m_context.services, sink, problem);
}

network::ConnectionLimits EntryHandlerFactory::limits() const
{
    return {maxHeadBytes, headTimeout, m_idleTimeout};
}

} // namespace sardinehollow::entry
