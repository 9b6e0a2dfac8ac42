#include "sardinehollow_network/connection/Listener.h"

#include <Poco/Net/NetException.h>

#include <cerrno>

namespace sardinehollow::network {

namespace {

// With more unaccepted connections than this, the system drops SYN packets, which are retransmitted
// only after a second.
constexpr int backlog = 1024;
// Connections accepted in one turn of the loop; bounds how long the others wait for it.
constexpr int maxAcceptsPerTurn = 64;
// Connections close often enough that a file descriptor is likely to be free by then.
constexpr core::Duration acceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

Listener::Listener(EventLoop &loop, const std::string &address, AcceptHandler onAccept,
                   FailureHandler onFailure)
    : m_loop(loop)
    , m_onAccept(std::move(onAccept))
    , m_onFailure(std::move(onFailure))
{
    m_socket.bind(Poco::Net::SocketAddress(address), true);
    m_socket.listen(backlog);
    m_socket.setBlocking(false);
    m_loop.add(m_socket, *this, true, false);
}

Listener::~Listener()
{
    close();
}

void Listener::close()
{
    if (!m_isOpen)
        return;
    m_isOpen = false;
    m_loop.cancel(m_resumeTimer);
    m_loop.remove(m_socket, *this);
    m_socket.close();
}

void Listener::onReadable()
{
    try {
        int accepted = 0;
        do {
            m_onAccept(m_socket.acceptConnection());
            m_isFailing = false;
        } while (m_isOpen && ++accepted < maxAcceptsPerTurn
                 && m_socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ));
    } catch (const Poco::Exception &exception) {
        // The caller disconnected before its connection was accepted.
        const bool isTransient = exception.code() == ECONNABORTED || exception.code() == EAGAIN
                || exception.code() == EINTR;
        if (!isTransient)
            pause(exception.displayText());
    }
}

// The pending connection keeps the socket readable, so without the pause the loop would busy-wait.
void Listener::pause(const std::string &reason)
{
    if (!m_isFailing)
        m_onFailure(reason);
    m_isFailing = true;
    m_loop.update(m_socket, *this, false, false);
    m_resumeTimer = m_loop.schedule(acceptRetryDelay, [this] {
        if (m_isOpen)
            m_loop.update(m_socket, *this, true, false);
    });
}

} // namespace sardinehollow::network
