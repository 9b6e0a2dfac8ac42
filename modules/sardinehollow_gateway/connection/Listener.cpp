#include "sardinehollow_gateway/connection/Listener.h"

#include <Poco/Net/NetException.h>

namespace sardinehollow::gateway {

namespace {

// Beyond this many unaccepted connections the system drops opening packets, which come again
// only after a second.
constexpr int backlog = 1024;

} // namespace

Listener::Listener(EventLoop &loop, const std::string &address, AcceptHandler onAccept)
    : m_loop(loop)
    , m_onAccept(std::move(onAccept))
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
    m_loop.remove(m_socket, *this);
    m_socket.close();
}

void Listener::onReadable()
{
    try {
        m_onAccept(m_socket.acceptConnection());
    } catch (const Poco::Exception &) {
        // The caller gave up before it was accepted, or no descriptor is free: the next event or
        // the end of another connection brings the next try.
        return;
    }
}

} // namespace sardinehollow::gateway
