#include "sardinehollow_routing/backends/BackendState.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>

namespace sardinehollow::routing {

namespace {

// A load report says less the older it is; after this time only own requests count. About three
// times the run of a request at the present deployments.
constexpr core::Duration reportLifetime = std::chrono::milliseconds(600);
// Failures in a row after which a server is passed over: one may be the request's own fault.
constexpr std::uint32_t toleratedFailures = 2;
constexpr core::Duration firstAvoidance = std::chrono::milliseconds(500);
constexpr core::Duration longestAvoidance = std::chrono::seconds(4);

} // namespace

BackendState::BackendState(BackendServer server, std::string region)
    : m_server(std::move(server))
    , m_region(std::move(region))
    , m_hash(core::stableHash(m_server.id))
    , m_coldPermits(0, 1)
{ }

void BackendState::update(const BackendServer &server, core::Instant now)
{
    m_server = server;
    if (server.coldFor.count() > 0)
        setCold(server.coldFor, now);
}

void BackendState::onSent()
{
    ++m_inFlight;
    ++m_sentSinceReport;
}

void BackendState::onEnded()
{
    --m_inFlight;
}

void BackendState::onLoadReport(std::uint32_t running, std::uint32_t waiting, std::uint32_t slots,
                                core::Instant now)
{
    m_reported = running + waiting;
    m_reportedAt = now;
    m_sentSinceReport = 0;
    if (slots > 0)
        m_server.slots = slots;
}

double BackendState::load(core::Instant now) const
{
    const double age = std::chrono::duration<double>(now - m_reportedAt) / reportLifetime;
    const double freshness = std::clamp(1.0 - age, 0.0, 1.0);
    return std::max<double>(m_inFlight, m_reported * freshness + m_sentSinceReport * freshness);
}

void BackendState::onFailure(core::Instant now)
{
    ++m_consecutiveFailures;
    if (m_consecutiveFailures < toleratedFailures)
        return;
    const std::uint32_t doublings = std::min(m_consecutiveFailures - toleratedFailures, 8U);
    m_avoidUntil = now + std::min(firstAvoidance * (1U << doublings), longestAvoidance);
}

void BackendState::onSuccess()
{
    m_consecutiveFailures = 0;
    m_avoidUntil = core::Instant {0};
}

} // namespace sardinehollow::routing
