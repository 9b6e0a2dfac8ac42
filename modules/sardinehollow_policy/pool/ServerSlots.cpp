#include "sardinehollow_policy/pool/ServerSlots.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sardinehollow::policy {

namespace {

// Up to this multiple of the kind's mean service time, a response shows that the server can handle
// its current limit.
constexpr double goodRelativeLatency = 2.0;
constexpr double goodLimitStep = 0.25;
// Slow responses still raise the limit slightly, so that it recovers if requests become slower in
// general.
constexpr double slowLimitStep = 0.03;
constexpr core::Duration initialProbeInterval = std::chrono::milliseconds(100);
constexpr core::Duration maximumProbeInterval = std::chrono::seconds(2);
constexpr std::uint32_t maximumDoublings = 10;

} // namespace

ServerSlots::ServerSlots(const PolicySettings &settings, const config::BackendServer &server)
    : m_settings(settings)
    , m_server(server)
    , m_adaptiveLimit(server.slots)
{ }

void ServerSlots::setServer(const config::BackendServer &server)
{
    if (server.slots != m_server.slots)
        m_adaptiveLimit = server.slots;
    m_server = server;
}

core::Instant ServerSlots::admitsAt() const
{
    return m_releaseExpected ? std::min(m_admitsAt, m_releaseExpectedAt) : m_admitsAt;
}

void ServerSlots::setOwner(const std::string &owner, bool isLocal, bool formerOwnerLeaving)
{
    if (owner != m_owner) {
        m_formerOwner = m_owner;
        m_owner = owner;
    }
    if (isLocal && !m_owned) {
        m_holdOffPending = true;
        m_releaseExpected = formerOwnerLeaving;
        m_releasedLocally = false;
    }
    // A daemon that was still in its hold-off does not know the requests of earlier owners, so it
    // cannot release the slots.
    if (!isLocal && m_owned) {
        m_releasedLocally = !m_holdOffPending && m_advancedAt >= m_admitsAt;
        m_releasedAt = m_advancedAt;
    }
    m_owned = isLocal;
}

void ServerSlots::setDrained(bool drained)
{
    if (m_drained && !drained)
        beginSlowStart();
    m_drained = drained;
}

void ServerSlots::beginSlowStart()
{
    m_adaptiveLimit = std::max(1.0, m_server.slots * m_settings.slowStartFraction);
}

void ServerSlots::advance(core::Instant now)
{
    m_advancedAt = now;
    if (m_holdOffPending)
        beginHoldOff(now);
    if (now - m_peakSince > m_settings.loadReportLifetime) {
        m_previousPeakInFlight = m_peakInFlight;
        m_peakInFlight = m_inFlight;
        m_peakSince = now;
    }
    if (m_health.endExpiredAvoidance(now))
        beginSlowStart();
}

void ServerSlots::onReport(const BackendReport &report)
{
    if (report.leaving) {
        m_leaving = true;
        m_leavingSince = report.now;
    } else if (m_leaving && report.now - m_leavingSince > m_settings.minLeavingTime) {
        m_leaving = false;
        beginSlowStart();
    }
    m_report = report;
    m_hasReport = true;
}

void ServerSlots::setInFlightElsewhere(const std::string &vm, std::uint32_t inFlight)
{
    if (inFlight == 0)
        m_inFlightElsewhere.erase(vm);
    else
        m_inFlightElsewhere[vm] = inFlight;
}

bool ServerSlots::wasRecentlyReleased(core::Instant now) const
{
    // The release is announced until the hold-off of the new owner must be over.
    return m_releasedLocally && now - m_releasedAt <= 2 * m_settings.ownershipHoldOff;
}

void ServerSlots::onOwnershipReleased(const std::string &vm, core::Instant now)
{
    // The summary may arrive before the heartbeat which reports that the owner is leaving.
    if (vm == m_owner) {
        m_earlyReleaseBy = vm;
        m_earlyReleaseAt = now;
    }
    // The hold-off guards against unknown requests of the former owner, which are known now.
    if (!m_owned || vm != m_formerOwner)
        return;
    m_holdOffPending = false;
    m_admitsAt = core::Instant::min();
}

void ServerSlots::beginHoldOff(core::Instant now)
{
    const bool released = m_earlyReleaseBy == m_formerOwner && !m_earlyReleaseBy.empty()
            && now - m_earlyReleaseAt <= m_settings.releaseTimeout;
    m_admitsAt = released ? core::Instant::min() : now + m_settings.ownershipHoldOff;
    m_releaseExpectedAt = now + std::min(m_settings.releaseTimeout, m_settings.ownershipHoldOff);
    m_holdOffPending = false;
    m_earlyReleaseBy.clear();
}

ServerState ServerSlots::state(core::Instant now) const
{
    if (!m_owned)
        return ServerState::NotOwned;
    if (m_leaving)
        return ServerState::Leaving;
    if (m_drained)
        return ServerState::Drained;
    if (m_holdOffPending || now < m_admitsAt)
        return ServerState::HoldOff;
    if (m_connectFailures > 0)
        return ServerState::Unreachable;
    if (m_health.isAvoided(now))
        return ServerState::Avoided;
    return ServerState::Serving;
}

std::uint32_t ServerSlots::limit(core::Instant now) const
{
    std::uint32_t limit = std::min(m_server.slots, static_cast<std::uint32_t>(m_adaptiveLimit));
    if (m_hasReport && now - m_report.now <= m_settings.loadReportLifetime) {
        const auto floor = static_cast<std::uint32_t>(
                std::ceil(m_server.slots * m_settings.minReportedSlotsFraction));
        std::uint32_t reportedSlots = std::min(m_report.slots, m_server.slots);
        // A delayed report may include requests of this daemon that have ended since, so only the
        // excess over the recent peak is attributed to other clients.
        const std::uint32_t otherInFlight
                = m_report.inFlight - std::min(m_report.inFlight, recentPeakInFlight());
        reportedSlots -= std::min(reportedSlots, otherInFlight);
        limit = std::min(limit, std::max(floor, reportedSlots));
    }
    std::uint32_t elsewhere = 0;
    for (const auto &[vm, inFlight] : m_inFlightElsewhere)
        elsewhere += inFlight;
    return limit - std::min(limit, elsewhere);
}

bool ServerSlots::hasFreeSlot(core::Instant now) const
{
    const ServerState current = state(now);
    if (current == ServerState::Unreachable)
        return m_inFlight == 0 && now >= m_nextProbeAt && limit(now) > 0;
    return current == ServerState::Serving && m_inFlight < limit(now);
}

void ServerSlots::acquire()
{
    ++m_inFlight;
    m_peakInFlight = std::max(m_peakInFlight, m_inFlight);
}

void ServerSlots::release()
{
    assert(m_inFlight > 0);
    --m_inFlight;
}

void ServerSlots::onSuccess(double relativeLatency)
{
    m_health.onSuccess(relativeLatency);
    if (m_connectFailures > 0)
        beginSlowStart();
    m_connectFailures = 0;
    const double step = relativeLatency <= goodRelativeLatency ? goodLimitStep : slowLimitStep;
    m_adaptiveLimit = std::min<double>(m_server.slots, m_adaptiveLimit + step);
}

void ServerSlots::onShed()
{
    // The refused request is still counted in m_inFlight.
    m_adaptiveLimit = std::clamp(m_inFlight - 1.0, 1.0, std::max(1.0, m_adaptiveLimit));
}

void ServerSlots::onConnectFailed(core::Instant now)
{
    // A dead server fails within a millisecond, so without the delay it would always look least
    // used.
    const std::uint32_t doublings = std::min(m_connectFailures, maximumDoublings);
    m_nextProbeAt = now + std::min(initialProbeInterval * (1U << doublings), maximumProbeInterval);
    ++m_connectFailures;
}

std::uint32_t ServerSlots::recentPeakInFlight() const
{
    return std::max(m_peakInFlight, m_previousPeakInFlight);
}

} // namespace sardinehollow::policy
