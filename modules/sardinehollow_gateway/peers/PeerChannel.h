#pragma once

#include "sardinehollow_gateway/peers/PeerLink.h"
#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_network/loop/EventLoop.h"
#include "sardinehollow_peer/transport/ZmqTransport.h"

#include <memory>
#include <optional>
#include <vector>

namespace sardinehollow::metrics {
class PrometheusWriter;
}

namespace sardinehollow::gateway {

/**
 * Owns the transport to the other daemons. It is opened when there is a daemon to talk to: when the
 * own failure domain has followers or, while messages pass across failure domains, when any other
 * daemon takes messages. A daemon without a peer address exchanges none.
 */
class PeerChannel : public PeerLink, private peer::MessageListener
{
public:
    PeerChannel(routing::EntryDaemon self, network::EventLoop &loop,
                const core::MonotonicClock &clock, logging::EventLog &log);
    ~PeerChannel() override;

    PeerChannel(const PeerChannel &) = delete;
    PeerChannel &operator=(const PeerChannel &) = delete;

    /** Sets whether the relays of all failure domains exchange messages; initially they do not. */
    void setAcrossDomains(bool isAcrossDomains);

    void addListener(PeerListener &listener) override;
    void setIncarnation(std::uint64_t incarnation) override;
    bool update(const routing::EntryDirectory &entries) override;
    void invalidate() override { m_entryChanges.reset(); }
    const PeerPlan &plan() const override { return m_plan; }
    bool isOpen() const override { return m_transport != nullptr; }
    void send(const std::string &vm, peer::wire::Envelope envelope) override;

    void appendMetrics(metrics::PrometheusWriter &writer) const;

private:
    // The transport's thread.
    void onMessage(const peer::wire::Envelope &envelope) override;

    void open();

    const routing::EntryDaemon m_self;
    network::EventLoop &m_loop;
    const core::MonotonicClock &m_clock;
    logging::EventLog &m_log;
    std::vector<PeerListener *> m_listeners;
    PeerPlan m_plan;
    bool m_isAcrossDomains = false;
    /** 0 until it is known. */
    std::uint64_t m_incarnation = 0;
    /** Number of changes of the directory that the plan is from; empty if it is not up to date. */
    std::optional<std::uint64_t> m_entryChanges;
    std::unique_ptr<peer::ZmqTransport> m_transport;
};

} // namespace sardinehollow::gateway
