#include "sardinehollow_network/connection/BufferedConnection.h"

#include "sardinehollow_core/http/SocketOptions.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace sardinehollow::network {

namespace {

constexpr std::size_t readBufferBytes = 64 * 1024;
// Memory that an empty buffer keeps for the next message.
constexpr std::size_t maxIdleCapacity = 4 * 1024;
// Time without an acknowledgement of sent data after which the peer counts as gone. A peer may
// pause reading for some seconds.
constexpr core::Duration sendTimeout = std::chrono::seconds(10);
constexpr core::Duration progressCheckInterval = std::chrono::seconds(2);

void releaseIfEmpty(std::string &buffer)
{
    if (buffer.empty() && buffer.capacity() > maxIdleCapacity)
        std::string().swap(buffer);
}

} // namespace

BufferedConnection::BufferedConnection(EventLoop &loop, const Poco::Net::StreamSocket &socket)
    : m_loop(loop)
    , m_socket(socket)
    , m_endsWithPeer(true)
    , m_isConnected(true)
{
    m_socket.setBlocking(false);
    core::configureSocket(m_socket);
    m_loop.add(m_socket, *this, true, false);
}

BufferedConnection::BufferedConnection(EventLoop &loop, const Poco::Net::SocketAddress &address)
    : m_loop(loop)
    , m_endsWithPeer(false)
    , m_isWriting(true)
{
    m_socket.connectNB(address);
    core::configureSocket(m_socket);
    m_loop.add(m_socket, *this, true, true);
}

BufferedConnection::~BufferedConnection()
{
    close();
}

void BufferedConnection::send(std::string_view bytes)
{
    if (!m_isOpen)
        return;
    m_output.append(bytes);
    if (m_isConnected && !m_isWriting)
        flush();
    else
        onOutputChanged();
}

bool BufferedConnection::isOpenAndIdle() const
{
    if (!m_isOpen || !m_input.empty())
        return false;
    char byte = 0;
    const ssize_t count
            = ::recv(m_socket.impl()->sockfd(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool BufferedConnection::hasPeerClosed() const
{
    if (!m_isOpen)
        return true;
    pollfd state {m_socket.impl()->sockfd(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0;
}

std::string BufferedConnection::peerHost() const
{
    try {
        return m_socket.peerAddress().host().toString();
    } catch (const Poco::Exception &) {
        // The peer has disconnected; the socket's next event reports that to its handler.
        return {};
    }
}

void BufferedConnection::setReading(bool reading)
{
    if (!m_isOpen || m_isReading == reading)
        return;
    m_isReading = reading;
    updateInterest();
}

void BufferedConnection::close()
{
    if (!m_isOpen)
        return;
    m_isOpen = false;
    m_loop.cancel(m_progressTimer);
    m_loop.remove(m_socket, *this);
    m_socket.close();
}

void BufferedConnection::reset()
{
    if (!m_isOpen)
        return;
    m_socket.setLinger(true, 0);
    close();
}

void BufferedConnection::closeGracefully()
{
    if (!m_isOpen || m_isClosing)
        return;
    m_isClosing = true;
    m_isReading = true;
    updateInterest();
    if (unsentBytes() == 0)
        flush();
}

void BufferedConnection::onReadable()
{
    if (!m_isOpen || !m_isConnected)
        return;
    std::array<char, readBufferBytes> buffer;
    try {
        const int count = m_socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count < 0)
            return;
        if (count == 0) {
            fail(peerClosed);
            return;
        }
        if (m_isClosing)
            return;
        m_input.append(buffer.data(), static_cast<std::size_t>(count));
    } catch (const Poco::Exception &exception) {
        fail(exception.displayText());
        return;
    }
    onInput();
    releaseIfEmpty(m_input);
}

void BufferedConnection::onWritable()
{
    if (!m_isOpen)
        return;
    if (!m_isConnected) {
        const int error = m_socket.impl()->socketError();
        if (error != 0) {
            fail(error == ECONNREFUSED ? connectionRefused
                                       : "cannot connect, error " + std::to_string(error));
            return;
        }
        m_isConnected = true;
        onConnected();
        if (!m_isOpen)
            return;
    }
    flush();
}

void BufferedConnection::onPeerClosed()
{
    if (m_isOpen && !m_isReading)
        fail(peerClosed);
}

void BufferedConnection::flush()
{
    const bool hadOutput = unsentBytes() > 0;
    while (unsentBytes() > 0) {
        // POCO's sendBytes() throws when the socket's send buffer is full.
        const ssize_t count = ::send(m_socket.impl()->sockfd(), m_output.data() + m_sentBytes,
                                     unsentBytes(), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN && errno != EINTR) {
            fail("cannot send, error " + std::to_string(errno));
            return;
        }
        if (count <= 0)
            break;
        m_sentBytes += static_cast<std::size_t>(count);
        m_takenBytes += static_cast<std::size_t>(count);
    }
    if (hadOutput && !m_isProgressChecked) {
        m_isProgressChecked = true;
        m_progressAt = m_loop.now();
        scheduleProgressCheck();
    }
    const bool isDrained = unsentBytes() == 0;
    // A peer that reads as fast as bytes are added may never drain the buffer.
    if (m_sentBytes >= unsentBytes()) {
        m_output.erase(0, m_sentBytes);
        m_sentBytes = 0;
        releaseIfEmpty(m_output);
    }
    onOutputChanged();
    if (m_isWriting == isDrained) {
        m_isWriting = !isDrained;
        updateInterest();
    }
    if (isDrained && m_isClosing) {
        try {
            m_socket.shutdownSend();
        } catch (const Poco::Exception &) {
            // The peer has already closed the connection, which is the intended result.
        }
    } else if (isDrained && hadOutput) {
        onDrained();
    }
}

std::size_t BufferedConnection::unacknowledgedBytes() const
{
    int bytes = 0;
    // Fails only for sockets that are not TCP; then just the own buffer is watched.
    if (::ioctl(m_socket.impl()->sockfd(), SIOCOUTQ, &bytes) != 0)
        return 0;
    // The end of the stream counts as one byte.
    return std::min<std::size_t>(static_cast<std::size_t>(bytes), m_takenBytes);
}

void BufferedConnection::scheduleProgressCheck()
{
    // At the same times for all connections, so that the loop wakes up once for all of them.
    m_progressTimer = m_loop.schedule(progressCheckInterval - m_loop.now() % progressCheckInterval,
                                      [this] { checkProgress(); });
}

void BufferedConnection::checkProgress()
{
    const std::uint64_t acknowledged = m_takenBytes - unacknowledgedBytes();
    if (acknowledged > m_acknowledgedBytes) {
        m_acknowledgedBytes = acknowledged;
        m_progressAt = m_loop.now();
    }
    m_isProgressChecked = acknowledged < m_takenBytes || unsentBytes() > 0;
    if (!m_isProgressChecked)
        return;
    if (m_loop.now() - m_progressAt < sendTimeout) {
        scheduleProgressCheck();
        return;
    }
    // What the peer has not received must not arrive after the request was given up.
    reset();
    onClosed(sendTimedOut);
}

void BufferedConnection::updateInterest()
{
    m_loop.update(m_socket, *this, m_isReading, m_isWriting, m_endsWithPeer && !m_isReading);
}

void BufferedConnection::fail(const std::string &reason)
{
    close();
    onClosed(reason);
}

} // namespace sardinehollow::network
