#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_gateway/status/DenialReason.h"
#include "sardinehollow_gateway/status/RequestOutcome.h"
#include "sardinehollow_gateway/status/RetryReason.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sardinehollow::metrics {
class LatencyHistogram;
}

namespace sardinehollow::gateway {

/** Counters and latencies of requests. Not safe for concurrent use. */
class GatewayMetrics
{
public:
    GatewayMetrics();
    ~GatewayMetrics();

    void countOutcome(RequestOutcome outcome) { ++m_outcomes[static_cast<std::size_t>(outcome)]; }
    void countFailedAttempt(RetryReason reason)
    {
        ++m_failedAttempts[static_cast<std::size_t>(reason)];
    }
    void countDenial(DenialReason reason) { ++m_denials[static_cast<std::size_t>(reason)]; }
    /** Counts a final response of a server without its signature, by the status. */
    void countUnsignedResponse(int status) { ++m_unsignedResponses[status]; }
    void countAcceptFailure() { ++m_acceptFailures; }
    /** Counts a caller's connection that ended otherwise than by an orderly close of the caller. */
    void countCallerConnectionFailure() { ++m_callerConnectionFailures; }
    void countLeaveAnnouncement() { ++m_leaveAnnouncements; }
    void countMalformedLimit() { ++m_malformedLimits; }
    /** Counts a request for which another server had less load than the first one of its object. */
    void countEvenedSelection() { ++m_evenedSelections; }
    /** Counts an attempt that is due after its caller has closed the connection. */
    void countAttemptAfterClose(bool isRetry) { ++m_attemptsAfterClose[isRetry ? 1 : 0]; }
    void recordLatency(const std::string &service, core::Duration latency);
    /** Counts a request that was refused because no server had capacity for its rank. */
    void countOverload(int rank) { ++m_overloads[rank]; }
    std::uint64_t outcomes(RequestOutcome outcome) const
    {
        return m_outcomes[static_cast<std::size_t>(outcome)];
    }

    /** Returns all values in the text format of Prometheus. */
    std::string prometheusText() const;

private:
    std::array<std::uint64_t, requestOutcomeCount> m_outcomes {};
    std::array<std::uint64_t, retryReasonCount> m_failedAttempts {};
    std::array<std::uint64_t, denialReasonCount> m_denials {};
    /** By status. */
    std::map<int, std::uint64_t> m_unsignedResponses;
    std::uint64_t m_acceptFailures = 0;
    std::uint64_t m_callerConnectionFailures = 0;
    std::uint64_t m_leaveAnnouncements = 0;
    std::uint64_t m_malformedLimits = 0;
    std::uint64_t m_evenedSelections = 0;
    /** First attempts and retries. */
    std::array<std::uint64_t, 2> m_attemptsAfterClose {};
    /** By rank. */
    std::map<int, std::uint64_t> m_overloads;
    std::map<std::string, std::unique_ptr<metrics::LatencyHistogram>> m_latencies;
};

} // namespace sardinehollow::gateway
