#pragma once

namespace sardinehollow::peer {

namespace wire {
class Envelope;
}

/**
 * Receives the validated messages of other daemons, on the transport's I/O thread; it must not
 * block.
 */
class MessageListener
{
public:
    virtual ~MessageListener() = default;

    virtual void onMessage(const wire::Envelope &envelope) = 0;
};

} // namespace sardinehollow::peer
