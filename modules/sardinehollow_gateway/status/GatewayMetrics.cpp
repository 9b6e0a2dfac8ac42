#include "sardinehollow_gateway/status/GatewayMetrics.h"

#include "sardinehollow_metrics/LatencyHistogram.h"
#include "sardinehollow_metrics/PrometheusWriter.h"

namespace sardinehollow::gateway {

GatewayMetrics::GatewayMetrics() = default;
GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::recordLatency(const std::string &service, core::Duration latency)
{
    std::unique_ptr<metrics::LatencyHistogram> &histogram = m_latencies[service];
    if (!histogram)
        histogram = std::make_unique<metrics::LatencyHistogram>();
    histogram->record(latency);
}

std::string GatewayMetrics::prometheusText() const
{
    metrics::PrometheusWriter writer;
    writer.family("requests_total", "Requests by how they ended.", "counter");
    for (std::size_t index = 0; index < requestOutcomeCount; ++index)
        writer.sample("requests_total", {{"outcome", toName(static_cast<RequestOutcome>(index))}},
                      std::to_string(m_outcomes[index]));
    writer.family("attempts_failed_total", "Attempts at a backend server that settled nothing.",
                  "counter");
    for (std::size_t index = 0; index < retryReasonCount; ++index)
        writer.sample("attempts_failed_total",
                      {{"reason", toName(static_cast<RetryReason>(index))}},
                      std::to_string(m_failedAttempts[index]));
    writer.family("requests_denied_total",
                  "Requests that callers were told are wrong, by the reason.", "counter");
    for (std::size_t index = 0; index < denialReasonCount; ++index)
        writer.sample("requests_denied_total",
                      {{"reason", toName(static_cast<DenialReason>(index))}},
                      std::to_string(m_denials[index]));
    writer.family("responses_unsigned_total",
                  "Responses of servers without a signature, by the status.", "counter");
    for (const auto &[status, count] : m_unsignedResponses)
        writer.sample("responses_unsigned_total", {{"status", std::to_string(status)}},
                      std::to_string(count));
    writer.family("accept_failures_total",
                  "Times that connections could no longer be accepted, for example without a free "
                  "descriptor.",
                  "counter");
    writer.sample("accept_failures_total", {}, std::to_string(m_acceptFailures));
    writer.family("caller_connection_failures_total",
                  "Connections of callers that were reset or timed out.", "counter");
    writer.sample("caller_connection_failures_total", {},
                  std::to_string(m_callerConnectionFailures));
    writer.family("leave_announcements_total", "Servers that stated in a response that they leave.",
                  "counter");
    writer.sample("leave_announcements_total", {}, std::to_string(m_leaveAnnouncements));
    writer.family("server_limits_malformed_total",
                  "Request limits of servers that could not be parsed.", "counter");
    writer.sample("server_limits_malformed_total", {}, std::to_string(m_malformedLimits));
    writer.family("evened_selections_total",
                  "Requests for which another server had less load than the first of their object.",
                  "counter");
    writer.sample("evened_selections_total", {}, std::to_string(m_evenedSelections));
    writer.family("attempts_after_close_total",
                  "Attempts that were due after the caller had closed its connection.", "counter");
    for (std::size_t index = 0; index < m_attemptsAfterClose.size(); ++index)
        writer.sample("attempts_after_close_total", {{"attempt", index == 0 ? "first" : "retry"}},
                      std::to_string(m_attemptsAfterClose[index]));
    writer.family("requests_overloaded_total",
                  "Requests that were refused because no server had capacity for their rank.",
                  "counter");
    for (const auto &[rank, count] : m_overloads)
        writer.sample("requests_overloaded_total", {{"rank", std::to_string(rank)}},
                      std::to_string(count));
    writer.family("request_seconds", "Time from arrival to the response.", "histogram");
    for (const auto &[service, histogram] : m_latencies)
        histogram->appendTo(writer.text(),
                            metrics::PrometheusWriter::labelText({{"service", service}}));
    return writer.text();
}

} // namespace sardinehollow::gateway
