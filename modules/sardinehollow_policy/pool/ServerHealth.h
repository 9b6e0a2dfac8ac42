#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>

namespace sardinehollow::policy {

/** Failure rate and latency of one backend server, and its avoidance (outlier ejection). */
class ServerHealth
{
public:
    /** relativeLatency is the latency divided by the mean service time of the work kind. */
    void onSuccess(double relativeLatency);
    void onFailure();

    /** Returns the smoothed share of failed attempts, in [0, 1]. */
    double failureShare() const { return m_failureShare; }
    /** Returns the smoothed relative latency; 1 is the mean of the work kind. */
    double relativeLatency() const { return m_relativeLatency; }
    bool hasFailureSamples() const;
    /** Whether consecutive attempts failed, or the first one after an avoidance did. */
    bool failsConsecutively() const;
    bool hasLatencySamples() const;

    /** Avoids the server for base, doubled for each earlier avoidance, up to maximum. */
    void avoid(core::Instant now, core::Duration base, core::Duration maximum);
    bool isAvoided(core::Instant now) const { return now < m_avoidedUntil; }
    /** Ends an avoidance that has expired and resets the samples; returns whether it did so. */
    bool endExpiredAvoidance(core::Instant now);

private:
    double m_failureShare = 0.0;
    double m_relativeLatency = 1.0;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_consecutiveSuccesses = 0;
    std::uint32_t m_consecutiveFailures = 0;
    /** The server was avoided and no attempt has succeeded since. */
    bool m_onProbation = false;
    std::uint32_t m_avoidanceCount = 0;
    bool m_avoidanceActive = false;
    core::Instant m_avoidedUntil = core::Instant::min();
};

} // namespace sardinehollow::policy
