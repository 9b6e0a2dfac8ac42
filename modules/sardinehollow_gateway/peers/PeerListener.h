#pragma once

namespace sardinehollow::peer::wire {
class Envelope;
}

namespace sardinehollow::gateway {

/** Receives the validated messages of other daemons, on the event loop's thread. */
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    virtual void onPeerMessage(const peer::wire::Envelope &envelope) = 0;
};

} // namespace sardinehollow::gateway
