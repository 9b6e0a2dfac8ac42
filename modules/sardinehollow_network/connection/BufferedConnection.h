#pragma once

#include "sardinehollow_network/loop/EventLoop.h"

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sardinehollow::network {

/** Reason passed to onClosed() when the peer closed the connection in an orderly way (FIN). */
inline constexpr const char *peerClosed = "closed by the peer";
/** Reason passed to onClosed() when nothing listens at the peer's address (RST). */
inline constexpr const char *connectionRefused = "refused by the peer";
/** Reason passed to onClosed() when the peer acknowledged no sent data for 10 to 12 s. */
inline constexpr const char *sendTimedOut = "the peer takes no data";

/**
 * A non-blocking TCP connection with an input and an output buffer. Subclasses receive data and
 * close events through virtual functions. They must not be destroyed from within these calls, only
 * from deferred tasks of the loop.
 */
class BufferedConnection : public SocketHandler
{
public:
    /** Takes over an established connection. */
    BufferedConnection(EventLoop &loop, const Poco::Net::StreamSocket &socket);
    /** Starts to connect; onConnected() or onClosed() follows. */
    BufferedConnection(EventLoop &loop, const Poco::Net::SocketAddress &address);
    ~BufferedConnection() override;

    BufferedConnection(const BufferedConnection &) = delete;
    BufferedConnection &operator=(const BufferedConnection &) = delete;

    /** Appends to the output buffer and sends as much as the socket accepts. */
    void send(std::string_view bytes);
    std::size_t unsentBytes() const { return m_output.size() - m_sentBytes; }
    /** Bytes that the output buffer holds, with those that were sent and not dropped yet. */
    std::size_t outputBytes() const { return m_output.size(); }
    bool isOpen() const { return m_isOpen; }
    bool isConnected() const { return m_isConnected; }
    /** Whether the connection is open at both ends and has no unread input. */
    bool isOpenAndIdle() const;
    /** Whether the peer has closed its end, also if bytes that it sent before are still unread. */
    bool hasPeerClosed() const;
    /** IP address of the peer; empty if it has disconnected. */
    std::string peerHost() const;
    /** Pauses or resumes reading, to apply back-pressure to the peer. */
    void setReading(bool reading);
    /** Closes immediately, without onClosed(). Unread input makes the system send a reset (RST). */
    void close();
    /** Resets the connection and discards unsent bytes, so that they cannot arrive later. */
    void reset();
    /** Closes once the output buffer is empty; further input is read and discarded. */
    void closeGracefully();

    void onReadable() override;
    void onWritable() override;
    void onPeerClosed() override;

protected:
    EventLoop &loop() { return m_loop; }
    /** Received bytes that are not consumed yet; subclasses erase what they consume. */
    std::string &input() { return m_input; }
    const std::string &input() const { return m_input; }

    virtual void onConnected() { }
    /** Called when bytes were appended to input(). */
    virtual void onInput() = 0;
    /** Called when outputBytes() may have changed. */
    virtual void onOutputChanged() { }
    /** Called when the output buffer has become empty. */
    virtual void onDrained() { }
    /** Called when the peer closed or reset the connection, or could not be reached. */
    virtual void onClosed(const std::string &reason) = 0;

private:
    void flush();
    /** Bytes that the system took and the peer has not acknowledged. */
    std::size_t unacknowledgedBytes() const;
    void scheduleProgressCheck();
    /** Ends the connection if sent data has not been acknowledged for too long. */
    void checkProgress();
    void updateInterest();
    void fail(const std::string &reason);

    EventLoop &m_loop;
    Poco::Net::StreamSocket m_socket;
    /**
     * Whether the close of a peer ends the connection while reading is paused. A server's close
     * does not, since the rest of its response is still to be read.
     */
    const bool m_endsWithPeer;
    std::string m_input;
    std::string m_output;
    std::size_t m_sentBytes = 0;
    /** All bytes that the system took, and those that the peer had acknowledged at the last check.
     */
    std::uint64_t m_takenBytes = 0;
    std::uint64_t m_acknowledgedBytes = 0;
    /** Time of the check that found more bytes acknowledged, or of the first send after a pause. */
    core::Instant m_progressAt {0};
    EventLoop::Timer m_progressTimer;
    bool m_isProgressChecked = false;
    bool m_isOpen = true;
    bool m_isConnected = false;
    bool m_isReading = true;
    bool m_isWriting = false;
    bool m_isClosing = false;
};

} // namespace sardinehollow::network
