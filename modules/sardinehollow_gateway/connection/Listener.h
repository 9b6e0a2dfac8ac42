#pragma once

#include "sardinehollow_gateway/loop/EventLoop.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <string>

namespace sardinehollow::gateway {

/** Accepts connections on one address. */
class Listener : public SocketHandler
{
public:
    using AcceptHandler = std::function<void(const Poco::Net::StreamSocket &)>;

    /** Throws Poco::Exception if the address cannot be used. */
    Listener(EventLoop &loop, const std::string &address, AcceptHandler onAccept);
    ~Listener() override;

    void close();
    const Poco::Net::SocketAddress address() const { return m_socket.address(); }

    void onReadable() override;
    void onWritable() override { }

private:
    EventLoop &m_loop;
    Poco::Net::ServerSocket m_socket;
    const AcceptHandler m_onAccept;
    bool m_isOpen = true;
};

} // namespace sardinehollow::gateway
