#include "sardinehollow_policy/pool/ServerHealth.h"

#include <algorithm>

namespace sardinehollow::policy {

namespace {

constexpr std::uint32_t minimumFailureSamples = 4;
constexpr std::uint32_t minimumLatencySamples = 8;
// A dead server fails within a millisecond, so it looks least used and would attract requests;
// the limit is low so that it gets few of them.
constexpr std::uint32_t consecutiveFailureLimit = 2;
// Consecutive successes after which the back-off of the avoidance time is reset.
constexpr std::uint32_t avoidanceResetSuccesses = 100;
constexpr std::uint32_t maximumDoublings = 10;
constexpr double failureSmoothing = 0.2;
constexpr double latencySmoothing = 0.15;

} // namespace

void ServerHealth::onSuccess(double relativeLatency)
{
    ++m_attempts;
    ++m_consecutiveSuccesses;
    m_consecutiveFailures = 0;
    m_onProbation = false;
    m_failureShare -= failureSmoothing * m_failureShare;
    m_relativeLatency += latencySmoothing * (relativeLatency - m_relativeLatency);
    if (m_consecutiveSuccesses >= avoidanceResetSuccesses)
        m_avoidanceCount = 0;
}

void ServerHealth::onFailure()
{
    ++m_attempts;
    m_consecutiveSuccesses = 0;
    ++m_consecutiveFailures;
    m_failureShare += failureSmoothing * (1.0 - m_failureShare);
}

bool ServerHealth::hasFailureSamples() const
{
    return m_attempts >= minimumFailureSamples;
}

bool ServerHealth::failsConsecutively() const
{
    return m_consecutiveFailures >= consecutiveFailureLimit
            || (m_onProbation && m_consecutiveFailures > 0);
}

bool ServerHealth::hasLatencySamples() const
{
    return m_consecutiveSuccesses >= minimumLatencySamples;
}

void ServerHealth::avoid(core::Instant now, core::Duration base, core::Duration maximum)
{
    m_avoidedUntil = now + std::min(base * (1U << m_avoidanceCount), maximum);
    m_avoidanceCount = std::min(m_avoidanceCount + 1, maximumDoublings);
    m_avoidanceActive = true;
}

bool ServerHealth::endExpiredAvoidance(core::Instant now)
{
    if (!m_avoidanceActive || isAvoided(now))
        return false;
    m_avoidanceActive = false;
    m_onProbation = true;
    m_consecutiveFailures = 0;
    m_failureShare = 0.0;
    m_relativeLatency = 1.0;
    m_attempts = 0;
    m_consecutiveSuccesses = 0;
    return true;
}

} // namespace sardinehollow::policy
