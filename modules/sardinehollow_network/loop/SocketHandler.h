#pragma once

namespace sardinehollow::network {

/** Receives what an event loop sees on a socket. */
class SocketHandler
{
public:
    virtual ~SocketHandler() = default;

    /** The socket can be read, or its peer has closed it. */
    virtual void onReadable() = 0;
    /** The socket takes bytes again, or its connection attempt has ended. */
    virtual void onWritable() = 0;
};

} // namespace sardinehollow::network
