#pragma once

#include "sardinehollow_network/loop/EventLoop.h"

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace sardinehollow::network {

/** Reason given to onClosed() when the peer ended the connection in an orderly way. */
inline constexpr const char *peerClosed = "closed by the peer";

/**
 * A non-blocking connection with buffers for both directions. Subclasses are told of bytes and of
 * the end; they may be destroyed only from deferred tasks of the loop, not from these calls.
 */
class BufferedConnection : public SocketHandler
{
public:
    /** A connection that exists already. */
    BufferedConnection(EventLoop &loop, const Poco::Net::StreamSocket &socket);
    /** Starts to connect; onConnected() or onClosed() follows. */
    BufferedConnection(EventLoop &loop, const Poco::Net::SocketAddress &address);
    ~BufferedConnection() override;

    BufferedConnection(const BufferedConnection &) = delete;
    BufferedConnection &operator=(const BufferedConnection &) = delete;

    /** Appends to what is to be sent and sends what the network takes. */
    void send(std::string_view bytes);
    std::size_t unsentBytes() const { return m_output.size() - m_sent; }
    bool isOpen() const { return m_isOpen; }
    bool isConnected() const { return m_isConnected; }
    /** Whether the peer has sent nothing that was not read, and has not closed the connection. */
    bool isQuiet() const;
    /** IP address of the peer; empty if the connection has ended. */
    std::string peerHost() const;
    /** Stops or resumes reading, to slow the peer down. */
    void setReading(bool reading);
    /** Closes at once; onClosed() is not called. Unread bytes of the peer reset the connection. */
    void close();
    /** Closes at once and drops what the network still holds, so that it cannot arrive later. */
    void reset();
    /** Closes after what was sent has gone out; the peer's remaining bytes are read and dropped. */
    void closeGracefully();

    void onReadable() override;
    void onWritable() override;

protected:
    EventLoop &loop() { return m_loop; }
    /** Received bytes that were not consumed; subclasses erase what they used. */
    std::string &input() { return m_input; }
    const std::string &input() const { return m_input; }

    virtual void onConnected() { }
    /** New bytes are in input(). */
    virtual void onInput() = 0;
    /** What was to be sent has gone out. */
    virtual void onDrained() { }
    /** The peer closed or reset the connection, or could not be reached. */
    virtual void onClosed(const std::string &reason) = 0;

private:
    void flush();
    void updateInterest();
    void fail(const std::string &reason);

    EventLoop &m_loop;
    Poco::Net::StreamSocket m_socket;
    std::string m_input;
    std::string m_output;
    std::size_t m_sent = 0;
    bool m_isOpen = true;
    bool m_isConnected = false;
    bool m_isReading = true;
    bool m_isWriting = false;
    bool m_isClosing = false;
};

} // namespace sardinehollow::network
