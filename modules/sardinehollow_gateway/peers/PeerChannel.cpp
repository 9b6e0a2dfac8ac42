#include "sardinehollow_gateway/peers/PeerChannel.h"

#include "sardinehollow_metrics/PrometheusWriter.h"

namespace sardinehollow::gateway {

namespace {

// All daemons that share a store belong to the same deployment.
constexpr const char *deployment = "platform";

} // namespace

PeerChannel::PeerChannel(routing::EntryDaemon self, network::EventLoop &loop,
                         const core::MonotonicClock &clock, logging::EventLog &log)
    : m_self(std::move(self))
    , m_loop(loop)
    , m_clock(clock)
    , m_log(log)
{ }

PeerChannel::~PeerChannel()
{
    if (m_transport)
        m_transport->stop();
}

void PeerChannel::setAcrossDomains(bool isAcrossDomains)
{
    if (isAcrossDomains == m_isAcrossDomains)
        return;
    m_isAcrossDomains = isAcrossDomains;
    invalidate();
}

void PeerChannel::addListener(PeerListener &listener)
{
    m_listeners.push_back(&listener);
}

void PeerChannel::setIncarnation(std::uint64_t incarnation)
{
    m_incarnation = incarnation;
    if (m_transport)
        m_transport->setIncarnation(incarnation);
}

bool PeerChannel::update(const routing::EntryDirectory &entries)
{
    const bool isSharing = !m_self.peerAddress.empty() && m_incarnation != 0;
    if (!isSharing || entries.changeCount() == m_entryChanges)
        return false;
    m_entryChanges = entries.changeCount();
    m_plan = makePeerPlan(m_self, entries, m_isAcrossDomains);
    const bool isNeeded = m_plan.hasFollowers() || (m_isAcrossDomains && !m_plan.addresses.empty());
    if (isNeeded && !m_transport)
        open();
    if (m_transport)
        m_transport->setPeers(m_plan.addresses);
    return true;
}

void PeerChannel::open()
{
    peer::TransportSettings settings;
    settings.vm = m_self.name;
    settings.deployment = deployment;
    settings.address = m_self.peerAddress;
    settings.incarnation = m_incarnation;
    try {
        m_transport = std::make_unique<peer::ZmqTransport>(settings, m_clock);
    } catch (const zmq::error_t &error) {
        m_log.write(logging::LogLine("peer-address-unavailable")
                            .text("address", settings.address)
                            .text("error", error.what()));
        return;
    }
    m_transport->addListener(*this);
    m_transport->start();
}

void PeerChannel::send(const std::string &vm, peer::wire::Envelope envelope)
{
    if (m_transport)
        m_transport->send(vm, std::move(envelope));
}

void PeerChannel::appendMetrics(metrics::PrometheusWriter &writer) const
{
    const auto add = [&writer](const char *name, const char *help, std::uint64_t value) {
        writer.family(name, help, "counter");
        writer.sample(name, {}, std::to_string(value));
    };
    std::uint64_t dropped = 0;
    for (std::size_t reason = 0; m_transport && reason < peer::dropReasonCount; ++reason)
        dropped += m_transport->dropped(static_cast<peer::DropReason>(reason));
    add("peer_bytes_sent_total", "Bytes of messages to other daemons.",
        m_transport ? m_transport->sentBytes() : 0);
    add("peer_bytes_received_total", "Bytes of messages of other daemons.",
        m_transport ? m_transport->receivedBytes() : 0);
    add("peer_messages_dropped_total", "Messages from or to other daemons that were dropped.",
        dropped);
}

void PeerChannel::onMessage(const peer::wire::Envelope &envelope)
{
    m_loop.post([this, message = std::make_shared<const peer::wire::Envelope>(envelope)] {
        for (PeerListener *listener : m_listeners)
            listener->onPeerMessage(*message);
    });
}

} // namespace sardinehollow::gateway
