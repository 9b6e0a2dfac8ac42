#pragma once

#include <string>

namespace sardinehollow::peer {

namespace wire {
class Envelope;
}

/** Sends messages to other daemons, without a guarantee of delivery. Safe for concurrent use. */
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;

    /**
     * Queues a message to the daemon on a VM; the transport sets all fields of the envelope but the
     * body.
     */
    virtual void send(const std::string &vm, wire::Envelope envelope) = 0;
};

} // namespace sardinehollow::peer
