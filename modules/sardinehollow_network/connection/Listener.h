#pragma once

#include "sardinehollow_network/loop/EventLoop.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <string>

namespace sardinehollow::network {

/** A listening TCP socket that accepts connections on one address. */
class Listener : public SocketHandler
{
public:
    using AcceptHandler = std::function<void(const Poco::Net::StreamSocket &)>;
    /** Called with the reason, once for each period in which connections cannot be accepted. */
    using FailureHandler = std::function<void(const std::string &)>;

    /** Throws Poco::Exception if the address cannot be bound. */
    Listener(EventLoop &loop, const std::string &address, AcceptHandler onAccept,
             FailureHandler onFailure);
    ~Listener() override;

    void close();
    const Poco::Net::SocketAddress address() const { return m_socket.address(); }

    void onReadable() override;
    void onWritable() override { }

private:
    void pause(const std::string &reason);

    EventLoop &m_loop;
    Poco::Net::ServerSocket m_socket;
    const AcceptHandler m_onAccept;
    const FailureHandler m_onFailure;
    EventLoop::Timer m_resumeTimer;
    bool m_isOpen = true;
    bool m_isFailing = false;
};

} // namespace sardinehollow::network
