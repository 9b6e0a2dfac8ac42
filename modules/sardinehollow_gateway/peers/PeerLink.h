#pragma once

#include "sardinehollow_gateway/peers/PeerListener.h"
#include "sardinehollow_gateway/peers/PeerPlan.h"
#include "sardinehollow_peer/generated/peer.pb.h"

#include <cstdint>
#include <string>

namespace sardinehollow::gateway {

/**
 * Exchanges messages with other daemons, without a guarantee of delivery. All functions are to be
 * called on the event loop's thread.
 */
class PeerLink
{
public:
    virtual ~PeerLink() = default;

    /** Adds a listener, which must outlive the event loop's run. */
    virtual void addListener(PeerListener &listener) = 0;
    /**
     * Sets this daemon's incarnation, which grows from one start to the next. No messages are
     * exchanged before the first call.
     */
    virtual void setIncarnation(std::uint64_t incarnation) = 0;
    /** Adapts the peers to the directory; returns whether the plan was made anew. */
    virtual bool update(const routing::EntryDirectory &entries) = 0;
    /** Makes the next update() evaluate the directory in any case. */
    virtual void invalidate() = 0;
    virtual const PeerPlan &plan() const = 0;
    /** Whether messages can be sent and received. */
    virtual bool isOpen() const = 0;
    /** Queues a message to the daemon on a VM; does nothing if the link is not open. */
    virtual void send(const std::string &vm, peer::wire::Envelope envelope) = 0;
};

} // namespace sardinehollow::gateway
