#include "sardinehollow_daemon/steering/SummaryAnnouncer.h"

#include "sardinehollow_daemon/steering/SteeringMessages.h"

#include <algorithm>

namespace sardinehollow::daemon {

namespace {

using std::chrono::milliseconds;

constexpr core::Duration minSendInterval = milliseconds(200);
constexpr core::Duration maxSendInterval = milliseconds(500);
// Two refreshes within the lifetime of a summary (2 s), so that one may be lost.
constexpr core::Duration refreshInterval = milliseconds(900);
// Less than half of a daemon's budget for control messages (5 KB/s); heartbeats need the rest.
constexpr std::size_t bytesPerSecond = 2'000;
// Estimate of the fields that the transport adds: deployment, sender, incarnation and sequence.
constexpr std::size_t envelopeOverheadBytes = 40;

core::Duration sendIntervalFor(std::size_t bytes)
{
    const core::Duration pacingInterval
            = std::chrono::nanoseconds(std::chrono::seconds(1)) * bytes / bytesPerSecond;
    return std::clamp(pacingInterval, minSendInterval, maxSendInterval);
}

} // namespace

peer::OutgoingMessages SummaryAnnouncer::advance(const std::vector<policy::PoolSummary> &summaries,
                                                 const policy::PeerView &view, core::Instant now)
{
    if (!isSendAllowed(now))
        return {};
    std::set<std::pair<std::string, std::uint64_t>> receivers;
    for (const policy::Peer &other : view.peers) {
        if (other.failureDomain == view.local().failureDomain && other.vm != view.local().vm)
            receivers.emplace(other.vm, other.incarnation);
    }
    const bool refresh = now >= m_nextRefresh || receivers != m_receivers;
    m_receivers = std::move(receivers);
    const peer::wire::Envelope envelope = makeEnvelope(summaries, refresh);
    if (refresh)
        m_nextRefresh = now + refreshInterval;
    if (envelope.pool_summaries().pools().empty() || m_receivers.empty())
        return {};
    m_nextSend = now
            + sendIntervalFor((envelope.ByteSizeLong() + envelopeOverheadBytes)
                              * m_receivers.size());
    peer::OutgoingMessages messages;
    for (const auto &[vm, incarnation] : m_receivers)
        messages.push_back({vm, envelope});
    return messages;
}

peer::wire::Envelope
SummaryAnnouncer::makeEnvelope(const std::vector<policy::PoolSummary> &summaries, bool refresh)
{
    peer::wire::Envelope envelope;
    for (const policy::PoolSummary &summary : summaries) {
        peer::wire::PoolSummaries::Pool pool = toWire(summary);
        std::string bytes = pool.SerializeAsString();
        std::string &lastSent = m_lastSent[summary.pool];
        if (!refresh && bytes == lastSent)
            continue;
        lastSent = std::move(bytes);
        *envelope.mutable_pool_summaries()->add_pools() = std::move(pool);
    }
    return envelope;
}

} // namespace sardinehollow::daemon
