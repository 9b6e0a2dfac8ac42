#include "sardinehollow_gateway/exchange/ServerStatements.h"

namespace sardinehollow::gateway {

namespace {

constexpr double secondsPerMinute = 60;

} // namespace

ServerStatements::ServerStatements(GatewayServices &services, routing::BackendState &server,
                                   const BackendResponseFields &fields,
                                   const std::string &requestId)
    : m_services(services)
    , m_server(server)
    , m_fields(fields)
    , m_requestId(requestId)
{ }

void ServerStatements::apply()
{
    // A misdirected response is about another server.
    if (m_fields.isMisdirected)
        return;
    applyLeave();
    applyPause();
    applyRateLimit();
}

void ServerStatements::applyLeave()
{
    if (!m_fields.isLeaving || m_server.hasAnnouncedLeave())
        return;
    m_server.onLeaveAnnounced();
    m_services.metrics.countLeaveAnnouncement();
    m_services.log.write(line("server-leave-announced")
                                 .text("entry", m_server.server().isDraining ? "draining" : "ready")
                                 .number("removed", m_server.isRemoved() ? 1 : 0));
}

void ServerStatements::applyPause()
{
    if (!m_fields.retryAfter)
        return;
    m_server.onRetryAfter(*m_fields.retryAfter, m_services.loop.now());
    m_services.log.writeRequest(line("server-paused").milliseconds("for", *m_fields.retryAfter),
                                m_services.loop.now());
}

void ServerStatements::applyRateLimit()
{
    routing::ServerRateLimit &limit = m_server.rateLimit();
    const bool wasActive = limit.isActive();
    if (m_fields.hasMalformedLimit)
        m_services.metrics.countMalformedLimit();
    else if (m_fields.requestsPerSecond)
        limit.set(*m_fields.requestsPerSecond);
    else if (m_fields.isSigned)
        limit.clear();
    if (limit.isActive() == wasActive)
        return;
    const double perMinute = limit.requestsPerSecond() * secondsPerMinute;
    m_services.log.write(line(wasActive ? "server-limit-ended" : "server-limit-announced")
                                 .number("perMinute", static_cast<std::int64_t>(perMinute)));
}

logging::LogLine ServerStatements::line(std::string_view event) const
{
    return line(event, m_server, m_requestId);
}

logging::LogLine ServerStatements::line(std::string_view event, const routing::BackendState &server,
                                        const std::string &requestId)
{
    logging::LogLine line(event);
    line.text("server", server.server().id)
            .text("service", server.server().service)
            .text("id", requestId);
    return line;
}

} // namespace sardinehollow::gateway
