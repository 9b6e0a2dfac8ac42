#include "sardinehollow_routing/backends/BackendState.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>

namespace sardinehollow::routing {

namespace {

// A report says nothing of requests that came since, of which the next one tells after a run.
constexpr int reportLifetimeRuns = 2;
// Weight of the latest response in the average run.
constexpr double runTimeWeight = 0.1;
// Failures in a row after which a server is passed over: one may be the request's own fault.
constexpr std::uint32_t toleratedFailures = 2;
constexpr core::Duration firstAvoidance = std::chrono::milliseconds(500);
constexpr core::Duration longestAvoidance = std::chrono::seconds(4);
// The entry of a server that is gone vanishes within three of its heartbeats, about 5 s.
constexpr core::Duration replacedAvoidance = std::chrono::seconds(6);

} // namespace

BackendState::BackendState(BackendServer server, std::string region)
    : m_server(std::move(server))
    , m_region(std::move(region))
    , m_hash(core::stableHash(m_server.id))
    , m_runTime(std::chrono::milliseconds(100))
    , m_coldPermits(0, 1)
{ }

void BackendState::update(const BackendServer &server, core::Instant now)
{
    m_server = server;
    if (server.coldFor.count() > 0)
        setCold(server.coldFor, now);
}

void BackendState::onSent(core::Instant now)
{
    ++m_inFlight;
    m_load = load(now) + 1;
    m_loadAt = now;
}

void BackendState::onEnded()
{
    --m_inFlight;
}

void BackendState::onResponse(core::Duration latency, double loadAtSend)
{
    m_hasResponded = true;
    const double waves = std::max(1.0, loadAtSend / m_server.slots);
    const core::Duration run = latency - m_roundTrip;
    const auto sample
            = std::chrono::duration_cast<core::Duration>(std::max(run, core::Duration {0}) / waves);
    m_runTime += std::chrono::duration_cast<core::Duration>((sample - m_runTime) * runTimeWeight);
}

void BackendState::setExpectedRunTime(core::Duration runTime)
{
    if (!m_hasResponded)
        m_runTime = runTime;
}

void BackendState::onConnected(core::Duration latency)
{
    m_roundTrip = m_roundTrip.count() == 0 ? latency : std::min(m_roundTrip, latency);
}

void BackendState::onLoadReport(std::uint32_t running, std::uint32_t waiting, std::uint32_t slots,
                                core::Instant now)
{
    m_load = running + waiting;
    m_loadAt = now;
    m_reportedAt = now;
    if (slots > 0)
        m_server.slots = slots;
}

std::optional<core::Duration> BackendState::reportAge(core::Instant now) const
{
    if (m_reportedAt.count() == 0)
        return std::nullopt;
    return now - m_reportedAt;
}

double BackendState::load(core::Instant now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_loadAt).count();
    const double runSeconds = std::max(std::chrono::duration<double>(m_runTime).count(), 1e-3);
    const double done = elapsed * m_server.slots / runSeconds / static_cast<double>(m_senders);
    const double own = std::max<double>(m_inFlight, m_load - done);
    const bool isReportFresh = now - m_reportedAt < m_runTime * reportLifetimeRuns;
    return isReportFresh ? own : std::max(own, m_peerLoad);
}

core::Duration BackendState::expectedLatency(core::Instant now) const
{
    const double waves = std::max(1.0, (load(now) + 1) / m_server.slots);
    return m_roundTrip + std::chrono::duration_cast<core::Duration>(m_runTime * waves);
}

void BackendState::onFailure(core::Instant now)
{
    ++m_consecutiveFailures;
    if (m_consecutiveFailures < toleratedFailures)
        return;
    const std::uint32_t doublings = std::min(m_consecutiveFailures - toleratedFailures, 8U);
    m_avoidUntil = now + std::min(firstAvoidance * (1U << doublings), longestAvoidance);
}

void BackendState::onUnreachable(core::Instant now)
{
    m_unreachableAt = now;
    m_consecutiveFailures = std::max(m_consecutiveFailures, toleratedFailures - 1);
    onFailure(now);
}

bool BackendState::isAvoided(core::Instant now) const
{
    const bool isUnderTrial = m_consecutiveFailures >= toleratedFailures && m_inFlight > 0;
    return now < m_avoidUntil || isUnderTrial;
}

void BackendState::onReplaced(core::Instant now)
{
    m_avoidUntil = now + replacedAvoidance;
}

void BackendState::onSuccess()
{
    m_consecutiveFailures = 0;
    m_avoidUntil = core::Instant {0};
}

} // namespace sardinehollow::routing
