#include "sardinehollow_daemon/steering/SteeringExchange.h"

#include "sardinehollow_daemon/steering/SteeringMessages.h"

#include <algorithm>

namespace sardinehollow::daemon {

namespace {

constexpr std::chrono::milliseconds advanceInterval {50};

// Whether the VM is that of another live daemon in the local failure domain.
bool isPeerOfLocalDomain(const policy::PeerView &view, const std::string &vm)
{
    return vm != view.local().vm
            && std::any_of(view.peers.begin(), view.peers.end(), [&](const policy::Peer &peer) {
                   return peer.vm == vm && peer.failureDomain == view.local().failureDomain;
               });
}

} // namespace

SteeringExchange::SteeringExchange(policy::SteeringPolicy &policy, peer::PeerTransport &transport,
                                   const core::MonotonicClock &clock)
    : m_policy(policy)
    , m_transport(transport)
    , m_clock(clock)
{ }

void SteeringExchange::start()
{
    m_advanceTask = std::make_unique<PeriodicTask>(advanceInterval, [this] { advance(); });
}

void SteeringExchange::stop()
{
    m_advanceTask.reset();
}

void SteeringExchange::advance()
{
    const std::shared_ptr<const policy::PeerView> view = m_policy.peers();
    if (!view)
        return;
    const std::lock_guard lock(m_mutex);
    const core::Instant now = m_clock.now();
    peer::OutgoingMessages messages;
    if (m_summaryAnnouncer.isSendAllowed(now))
        messages = m_summaryAnnouncer.advance(m_policy.summaries(now), *view, now);
    m_sentSummaries += messages.size();
    peer::OutgoingMessages notices
            = m_quarantineAnnouncer.advance(m_policy.quarantine(now), *view, now);
    m_sentNotices += notices.size();
    std::move(notices.begin(), notices.end(), std::back_inserter(messages));
    for (peer::OutgoingMessage &message : messages)
        m_transport.send(message.vm, std::move(message.envelope));
}

void SteeringExchange::onMessage(const peer::wire::Envelope &envelope)
{
    if (envelope.has_pool_summaries())
        onSummaries(envelope.sender_id(), envelope.pool_summaries());
    if (envelope.has_quarantine_notice())
        onQuarantine(envelope.sender_id(), envelope.quarantine_notice());
}

std::string SteeringExchange::metricsText() const
{
    const auto counterLine = [](const std::string &name, std::uint64_t value) {
        return "sardinehollow_steering_" + name + " " + std::to_string(value) + "\n";
    };
    return counterLine("sent_summary_messages_total", m_sentSummaries)
            + counterLine("sent_quarantine_messages_total", m_sentNotices)
            + counterLine("dropped_summaries_total", m_droppedSummaries)
            + counterLine("dropped_fingerprints_total", m_droppedFingerprints);
}

void SteeringExchange::onSummaries(const std::string &sender,
                                   const peer::wire::PoolSummaries &message)
{
    const std::shared_ptr<const config::Configuration> configuration = m_policy.configuration();
    const std::shared_ptr<const policy::PeerView> view = m_policy.peers();
    if (!configuration || !view || !isPeerOfLocalDomain(*view, sender)) {
        m_droppedSummaries += static_cast<std::uint64_t>(message.pools_size());
        return;
    }
    const ValidatedEntries<policy::PoolSummary> entries
            = fromWire(message, sender, view->local().failureDomain, *configuration);
    m_droppedSummaries += entries.dropped;
    m_policy.onSummaries(entries.accepted, m_clock.now());
}

void SteeringExchange::onQuarantine(const std::string &sender,
                                    const peer::wire::QuarantineNotice &message)
{
    const ValidatedEntries<policy::QuarantineEntry> entries = fromWire(message);
    m_droppedFingerprints += entries.dropped;
    const core::Instant now = m_clock.now();
    m_policy.onQuarantine(entries.accepted, now);
    const std::shared_ptr<const policy::PeerView> view = m_policy.peers();
    // A daemon of the local failure domain announces to all others of it itself.
    if (!message.pass_on() || !view || isPeerOfLocalDomain(*view, sender))
        return;
    const std::lock_guard lock(m_mutex);
    m_quarantineAnnouncer.redistribute(entries.accepted, now);
}

} // namespace sardinehollow::daemon
