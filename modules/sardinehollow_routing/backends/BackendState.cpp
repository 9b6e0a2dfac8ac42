#include "sardinehollow_routing/backends/BackendState.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

namespace {

// A load report does not include requests that arrived after it; they appear in the next report,
// about one service time later.
constexpr int reportLifetimeServiceTimes = 2;
// Weight of the latest response in the moving average of the service time.
constexpr double serviceTimeWeight = 0.1;
// Consecutive failures after which a server is avoided: a single one may be caused by the request.
constexpr std::uint32_t failureThreshold = 2;
constexpr core::Duration initialAvoidanceTime = std::chrono::milliseconds(500);
constexpr core::Duration maximumAvoidanceTime = std::chrono::seconds(4);
// The entry of a dead server is removed from the store after three missed heartbeats, about 5 s.
constexpr core::Duration replacedAvoidanceTime = std::chrono::seconds(6);
// The requests that all daemons have in flight are extrapolated from the own ones. With this time
// for each daemon, the error does not depend on the number of daemons: their requests are as many
// in that time. With 4 daemons in a region, the average is close to the present number.
constexpr core::Duration inFlightAveragingTimePerSender = std::chrono::milliseconds(70);
constexpr core::Duration maximumInFlightAveragingTime = std::chrono::seconds(3);

// Time constant with which a reported slowdown fades, in seconds; it changes many times a second.
constexpr double slowdownSeconds = 0.3;

// Time constant with which a reported load approaches the mean, in seconds. Differences between
// servers last longer than a request, since popular objects keep their servers.
constexpr double reportFadeSeconds = 2;

} // namespace

BackendState::BackendState(BackendServer server, std::string region, std::uint64_t daemonSeed)
    : m_server(std::move(server))
    , m_region(std::move(region))
    , m_hash(core::stableHash(m_server.id))
    , m_serviceTime(std::chrono::milliseconds(100))
    , m_coldPermits(0, 1)
    , m_rateLimit(core::combineHashes(daemonSeed, m_hash))
{ }

void BackendState::update(const BackendServer &server, core::Instant now)
{
    // An entry that was ready all along may be older than the announcement.
    if (m_server.isDraining && !server.isDraining)
        m_hasAnnouncedLeave = false;
    m_server = server;
    if (server.coldFor.count() > 0)
        setCold(server.coldFor, now);
}

void BackendState::onRetryAfter(core::Duration duration, core::Instant now)
{
    m_pausedUntil = std::max(m_pausedUntil, now + duration);
}

void BackendState::onRequestSent(core::Instant now)
{
    ++m_inFlight;
    ++m_sentSinceReport;
    m_averageInFlight.set(m_inFlight, now, inFlightAveragingTime());
    m_load = load(now) + 1;
    m_loadEstimatedAt = now;
}

void BackendState::onRequestEnded(core::Instant now)
{
    --m_inFlight;
    m_averageInFlight.set(m_inFlight, now, inFlightAveragingTime());
}

double BackendState::averageInFlight(core::Instant now) const
{
    return m_averageInFlight.average(now, inFlightAveragingTime());
}

core::Duration BackendState::inFlightAveragingTime() const
{
    const auto senders = static_cast<core::Duration::rep>(m_senderCount);
    return std::min(inFlightAveragingTimePerSender * senders, maximumInFlightAveragingTime);
}

void BackendState::onResponse(core::Duration latency, double loadAtSend, core::Instant now)
{
    m_lastResponseAt = now;
    const double batches = std::max(1.0, loadAtSend / m_server.slots);
    const core::Duration serverTime = latency - m_roundTrip;
    const auto sample = std::chrono::duration_cast<core::Duration>(
            std::max(serverTime, core::Duration {0}) / batches);
    m_serviceTime += std::chrono::duration_cast<core::Duration>((sample - m_serviceTime)
                                                                * serviceTimeWeight);
}

void BackendState::setInitialServiceTime(core::Duration serviceTime)
{
    if (m_lastResponseAt.count() == 0)
        m_serviceTime = serviceTime;
}

void BackendState::onConnected(core::Duration latency)
{
    m_roundTrip = m_roundTrip.count() == 0 ? latency : std::min(m_roundTrip, latency);
}

void BackendState::onLoadReport(std::uint32_t running, std::uint32_t waiting, std::uint32_t slots,
                                core::Instant now)
{
    m_load = running + waiting;
    m_loadEstimatedAt = now;
    m_reportedAt = now;
    m_reportedLoad = m_load;
    m_sentSinceReport = 0;
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
    const double elapsed = std::chrono::duration<double>(now - m_loadEstimatedAt).count();
    const double serviceSeconds
            = std::max(std::chrono::duration<double>(m_serviceTime).count(), 1e-3);
    const double completed
            = elapsed * m_server.slots / serviceSeconds / static_cast<double>(m_senderCount);
    const double estimate = std::max<double>(m_inFlight, m_load - completed);
    const bool isReportFresh = now - m_reportedAt < m_serviceTime * reportLifetimeServiceTimes;
    return isReportFresh ? estimate : std::max(estimate, m_extrapolatedLoad);
}

double BackendState::predictedLoad(core::Instant now) const
{
    double difference = 0;
    if (m_reportedAt.count() > 0) {
        const double age = std::chrono::duration<double>(now - m_reportedAt).count();
        difference = (m_reportedLoad - m_extrapolatedLoad) * std::exp(-age / reportFadeSeconds);
    }
    const double sent = std::min(m_sentSinceReport, m_inFlight);
    return std::max<double>(m_inFlight, m_extrapolatedLoad + difference + sent);
}

core::Duration BackendState::expectedLatency(core::Instant now) const
{
    const double batches = std::max(1.0, (load(now) + 1) / m_server.slots);
    return m_roundTrip
            + std::chrono::duration_cast<core::Duration>(m_serviceTime * batches * slowdown(now));
}

void BackendState::onSlowdownReport(double slowdown, core::Instant now)
{
    m_slowdown = slowdown;
    m_slowdownAt = now;
}

double BackendState::slowdown(core::Instant now) const
{
    const double age = std::chrono::duration<double>(now - m_slowdownAt).count();
    return 1 + (m_slowdown - 1) * std::exp(-age / slowdownSeconds);
}

void BackendState::onFailure(core::Instant now)
{
    ++m_consecutiveFailures;
    if (m_consecutiveFailures < failureThreshold)
        return;
    const std::uint32_t doublings = std::min(m_consecutiveFailures - failureThreshold, 8U);
    m_avoidUntil = now + std::min(initialAvoidanceTime * (1U << doublings), maximumAvoidanceTime);
}

void BackendState::onConnectFailed(core::Instant now, ConnectFailure failure)
{
    m_lastConnectFailureAt = now;
    if (failure == ConnectFailure::Refused)
        m_lastRefusalAt = now;
    m_consecutiveFailures = std::max(m_consecutiveFailures, failureThreshold - 1);
    onFailure(now);
}

bool BackendState::isAvoided(core::Instant now) const
{
    const bool isProbing = m_consecutiveFailures >= failureThreshold && m_inFlight > 0;
    return now < m_avoidUntil || isProbing;
}

void BackendState::onReplaced(core::Instant now)
{
    m_lastReplacedAt = now;
    m_avoidUntil = now + replacedAvoidanceTime;
}

void BackendState::onSuccess()
{
    m_consecutiveFailures = 0;
    m_avoidUntil = core::Instant {0};
}

} // namespace sardinehollow::routing
