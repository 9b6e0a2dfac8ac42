#include "sardinehollow_entry/server/OperatorServer.h"

namespace sardinehollow::entry {

OperatorServer::OperatorServer(const std::string &address, StatusSource &status,
                               logging::EventLog &log)
    : m_status(status)
    , m_loop(m_clock)
    , m_listener(
              m_loop, address,
              [this](const Poco::Net::HTTPRequest &request) { return answer(request.getURI()); },
              [address, &log](const std::string &reason) {
                  log.write(logging::LogLine("accept-failed")
                                    .text("address", address)
                                    .text("error", reason));
              })
    , m_address(m_listener.address().toString())
    , m_thread(m_loop)
{ }

OperatorServer::~OperatorServer()
{
    m_thread.stop();
}

network::QueryListener::Answer OperatorServer::answer(const std::string &path) const
{
    const std::string text = "text/plain; charset=utf-8";
    if (path == "/healthz")
        return {200, text, "ok\n"};
    if (path == "/readyz" && m_status.isReady())
        return {200, text, "ready\n"};
    if (path == "/readyz")
        return {503, text, "not ready: no configuration, or leaving\n"};
    if (path == "/v1/status")
        return {200, "application/json", m_status.statusJson()};
    if (path == "/metrics")
        return {200, "text/plain; version=0.0.4", m_status.metricsText()};
    return {404, text, "not found; use /healthz, /readyz, /v1/status or /metrics\n"};
}

} // namespace sardinehollow::entry
