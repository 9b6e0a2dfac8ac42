#pragma once

namespace sardinehollow::network {

/** Receives the events of a socket from an event loop. */
class SocketHandler
{
public:
    virtual ~SocketHandler() = default;

    /** The socket is readable or in error, or its peer has closed the connection. */
    virtual void onReadable() = 0;
    /** The socket is writable or in error, or its connection attempt has completed or failed. */
    virtual void onWritable() = 0;
    /** The peer has closed its end while the socket is not read; only if that was asked for. */
    virtual void onPeerClosed() { }
};

} // namespace sardinehollow::network
