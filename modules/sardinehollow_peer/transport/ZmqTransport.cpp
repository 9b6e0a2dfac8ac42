#include "sardinehollow_peer/transport/ZmqTransport.h"

#include <google/protobuf/stubs/logging.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <system_error>

namespace sardinehollow::peer {

namespace {

const std::string scheme = "tcp://";
constexpr std::chrono::milliseconds pollTimeout {100};
// Time in which a closing socket sends its queued messages, such as the announcement of leaving.
constexpr int lingerMs = 300;
// ZeroMQ closes a connection that exceeds this limit; the filter counts messages that exceed only
// its own, lower limit.
constexpr std::int64_t socketMessageBytesLimit = 4 * static_cast<std::int64_t>(maximumMessageBytes);
// Maximum number of messages received before queued messages are sent.
constexpr int maximumReceiveBatch = 256;
// ZeroMQ reopens a connection on which one of its pings is not answered in time.
constexpr int pingIntervalMs = 2000;
constexpr int pingTimeoutMs = 4000;
constexpr int handshakeTimeoutMs = 2000;
constexpr int initialReconnectMs = 100;
constexpr int maximumReconnectMs = 2000;

void setKeepAlive(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::heartbeat_ivl, pingIntervalMs);
    socket.set(zmq::sockopt::heartbeat_timeout, pingTimeoutMs);
    socket.set(zmq::sockopt::handshake_ivl, handshakeTimeoutMs);
    socket.set(zmq::sockopt::tcp_keepalive, 1);
}

} // namespace

ZmqTransport::ZmqTransport(TransportSettings settings, const core::MonotonicClock &clock)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_router(m_context, zmq::socket_type::router)
    , m_incarnation(m_settings.incarnation)
    , m_filter(m_settings.deployment)
{
    // Malformed messages are counted; protobuf would also write a line to stderr for each.
    google::protobuf::SetLogHandler(nullptr);
    m_wakeUpFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (m_wakeUpFd < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
    setKeepAlive(m_router);
    m_router.set(zmq::sockopt::maxmsgsize, socketMessageBytesLimit);
    m_router.set(zmq::sockopt::linger, 0);
    m_router.bind(scheme + m_settings.address);
    m_address = m_router.get(zmq::sockopt::last_endpoint).substr(scheme.size());
}

ZmqTransport::~ZmqTransport()
{
    stop();
    close(m_wakeUpFd);
}

void ZmqTransport::addListener(MessageListener &listener)
{
    m_listeners.push_back(&listener);
}

void ZmqTransport::start()
{
    m_thread = std::thread([this] { run(); });
}

void ZmqTransport::stop()
{
    if (!m_thread.joinable())
        return;
    m_stopping = true;
    wakeUp();
    m_thread.join();
}

void ZmqTransport::send(const std::string &vm, wire::Envelope envelope)
{
    envelope.set_protocol_version(protocolVersion);
    envelope.set_deployment(m_settings.deployment);
    envelope.set_sender_id(m_settings.vm);
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= m_settings.queueLimit) {
            count(DropReason::QueueFull);
            return;
        }
        envelope.set_incarnation(m_incarnation);
        envelope.set_sequence(++m_sequences[vm]);
        std::string bytes = envelope.SerializeAsString();
        if (bytes.size() > maximumMessageBytes) {
            count(DropReason::TooLarge);
            return;
        }
        m_queue.push_back({vm, std::move(bytes)});
    }
    wakeUp();
}

void ZmqTransport::setPeers(std::map<std::string, std::string> addresses)
{
    addresses.erase(m_settings.vm);
    {
        const std::lock_guard lock(m_mutex);
        m_newAddresses = std::move(addresses);
        m_hasNewAddresses = true;
    }
    wakeUp();
}

void ZmqTransport::setIncarnation(std::uint64_t incarnation)
{
    const std::lock_guard lock(m_mutex);
    m_incarnation = incarnation;
    m_sequences.clear();
}

std::uint64_t ZmqTransport::dropped(DropReason reason) const
{
    return m_dropped.at(static_cast<std::size_t>(reason));
}

void ZmqTransport::run()
{
    while (!m_stopping) {
        std::array<zmq::pollitem_t, 2> items {{
                {m_router.handle(), 0, ZMQ_POLLIN, 0},
                {nullptr, m_wakeUpFd, ZMQ_POLLIN, 0},
        }};
        zmq::poll(items.data(), items.size(), pollTimeout);
        clearWakeUps();
        applyNewAddresses();
        sendQueued();
        receive();
        replaceSilentConnections();
    }
    applyNewAddresses();
    sendQueued();
    for (auto &[vm, connection] : m_connections)
        connection.socket.set(zmq::sockopt::linger, lingerMs);
    m_connections.clear();
}

void ZmqTransport::wakeUp()
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is full, and then the thread is already due to wake up.
    [[maybe_unused]] const ssize_t written = write(m_wakeUpFd, &one, sizeof one);
}

void ZmqTransport::clearWakeUps()
{
    std::uint64_t wakeUps = 0;
    [[maybe_unused]] const ssize_t taken = read(m_wakeUpFd, &wakeUps, sizeof wakeUps);
}

void ZmqTransport::receive()
{
    for (int message = 0; message < maximumReceiveBatch; ++message) {
        zmq::message_t part;
        if (!m_router.recv(part, zmq::recv_flags::dontwait))
            return;
        // The first part is the routing identity of the connection, the last one is the message.
        int parts = 1;
        while (part.more()) {
            (void)m_router.recv(part, zmq::recv_flags::none);
            ++parts;
        }
        if (parts == 2)
            processMessage(part);
        else
            count(DropReason::Unparsable);
    }
    wakeUp();
}

void ZmqTransport::processMessage(const zmq::message_t &payload)
{
    ++m_receivedMessages;
    m_receivedBytes += payload.size();
    const core::Instant now = m_clock.now();
    const auto accepted
            = m_filter.accept({static_cast<const char *>(payload.data()), payload.size()}, now);
    if (!accepted) {
        count(accepted.error());
        return;
    }
    const auto connection = m_connections.find(accepted->sender_id());
    if (connection != m_connections.end())
        connection->second.lastReceived = now;
    for (MessageListener *listener : m_listeners)
        listener->onMessage(*accepted);
}

void ZmqTransport::applyNewAddresses()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_hasNewAddresses)
            return;
        m_hasNewAddresses = false;
        m_addresses = std::move(m_newAddresses);
    }
    m_filter.setSenders(m_addresses);
    for (auto item = m_connections.begin(); item != m_connections.end();) {
        const auto found = m_addresses.find(item->first);
        const bool current = found != m_addresses.end() && found->second == item->second.address;
        item = current ? std::next(item) : m_connections.erase(item);
    }
}

void ZmqTransport::sendQueued()
{
    std::deque<QueuedMessage> queue;
    {
        const std::lock_guard lock(m_mutex);
        queue.swap(m_queue);
    }
    for (const QueuedMessage &queued : queue)
        sendMessage(queued);
}

void ZmqTransport::sendMessage(const QueuedMessage &queued)
{
    const auto address = m_addresses.find(queued.vm);
    if (address == m_addresses.end()) {
        count(DropReason::UnknownReceiver);
        return;
    }
    auto connection = m_connections.find(queued.vm);
    try {
        if (connection == m_connections.end()) {
            const core::Instant now = m_clock.now();
            Connection opened {connect(address->second), address->second, now, now};
            connection = m_connections.emplace(queued.vm, std::move(opened)).first;
        }
        zmq::socket_t &socket = connection->second.socket;
        if (!socket.send(zmq::buffer(queued.bytes), zmq::send_flags::dontwait)) {
            count(DropReason::QueueFull);
            return;
        }
    } catch (const zmq::error_t &) {
        // The address came from another daemon or the VM list and may be malformed.
        count(DropReason::UnknownReceiver);
        return;
    }
    ++m_sentMessages;
    m_sentBytes += queued.bytes.size();
}

zmq::socket_t ZmqTransport::connect(const std::string &address)
{
    zmq::socket_t socket(m_context, zmq::socket_type::dealer);
    setKeepAlive(socket);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, m_settings.connectionQueueLimit);
    socket.set(zmq::sockopt::reconnect_ivl, initialReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, maximumReconnectMs);
    socket.connect(scheme + address);
    return socket;
}

void ZmqTransport::replaceSilentConnections()
{
    const core::Instant now = m_clock.now();
    for (auto item = m_connections.begin(); item != m_connections.end();) {
        const core::Instant alive = std::max(item->second.opened, item->second.lastReceived);
        if (now - alive <= m_settings.receiveTimeout) {
            ++item;
            continue;
        }
        // The next message opens a new connection; messages still queued on the old one are out of
        // date.
        item = m_connections.erase(item);
        ++m_replacedConnections;
    }
}

void ZmqTransport::count(DropReason reason)
{
    ++m_dropped.at(static_cast<std::size_t>(reason));
}

} // namespace sardinehollow::peer
