#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_peer/transport/MessageFilter.h"
#include "sardinehollow_peer/transport/MessageListener.h"
#include "sardinehollow_peer/transport/PeerTransport.h"
#include "sardinehollow_peer/transport/TransportSettings.h"

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <vector>
#include <zmq.hpp>

namespace sardinehollow::peer {

/**
 * Exchanges messages over ZeroMQ: one ROUTER socket receives, and one DEALER socket for each daemon
 * sends. All sockets are used by the I/O thread only, which also calls the listeners.
 */
class ZmqTransport : public PeerTransport
{
public:
    /** Binds the address of the settings; throws zmq::error_t if that fails. */
    ZmqTransport(TransportSettings settings, const core::MonotonicClock &clock);
    ~ZmqTransport() override;

    ZmqTransport(const ZmqTransport &) = delete;
    ZmqTransport &operator=(const ZmqTransport &) = delete;

    /** Adds a listener, which must outlive the transport; to be called before start(). */
    void addListener(MessageListener &listener);
    void start();
    /**
     * Sends the queued messages, within a short time limit, and joins the I/O thread. No listener
     * is called afterwards.
     */
    void stop();

    void send(const std::string &vm, wire::Envelope envelope) override;
    /**
     * Replaces the addresses of the other daemons by VM name; messages are exchanged with these
     * only.
     */
    void setPeers(std::map<std::string, std::string> addresses);
    /** Sets the incarnation of all further messages; their sequence numbers start again at 1. */
    void setIncarnation(std::uint64_t incarnation);

    /** The bound address; its port differs from the settings if that port is 0. */
    const std::string &address() const { return m_address; }
    std::uint64_t dropped(DropReason reason) const;
    std::uint64_t sentMessages() const { return m_sentMessages; }
    std::uint64_t sentBytes() const { return m_sentBytes; }
    std::uint64_t receivedMessages() const { return m_receivedMessages; }
    std::uint64_t receivedBytes() const { return m_receivedBytes; }
    std::uint64_t replacedConnections() const { return m_replacedConnections; }

private:
    struct QueuedMessage
    {
        std::string vm;
        std::string bytes;
    };

    struct Connection
    {
        zmq::socket_t socket;
        std::string address;
        core::Instant opened {0};
        core::Instant lastReceived {0};
    };

    void run();
    void wakeUp();
    void clearWakeUps();
    void receive();
    void processMessage(const zmq::message_t &payload);
    void applyNewAddresses();
    void sendQueued();
    void sendMessage(const QueuedMessage &queued);
    zmq::socket_t connect(const std::string &address);
    void replaceSilentConnections();
    void count(DropReason reason);

    const TransportSettings m_settings;
    const core::MonotonicClock &m_clock;
    std::vector<MessageListener *> m_listeners;
    zmq::context_t m_context;
    zmq::socket_t m_router;
    std::string m_address;
    int m_wakeUpFd = -1;

    std::mutex m_mutex;
    std::deque<QueuedMessage> m_queue;
    std::map<std::string, std::uint64_t> m_sequences;
    std::map<std::string, std::string> m_newAddresses;
    bool m_hasNewAddresses = false;
    std::uint64_t m_incarnation;

    // Used by the I/O thread only.
    MessageFilter m_filter;
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, Connection> m_connections;

    std::array<std::atomic<std::uint64_t>, dropReasonCount> m_dropped {};
    std::atomic<std::uint64_t> m_sentMessages {0};
    std::atomic<std::uint64_t> m_sentBytes {0};
    std::atomic<std::uint64_t> m_receivedMessages {0};
    std::atomic<std::uint64_t> m_receivedBytes {0};
    std::atomic<std::uint64_t> m_replacedConnections {0};
    std::atomic<bool> m_stopping {false};
    std::thread m_thread;
};

} // namespace sardinehollow::peer
