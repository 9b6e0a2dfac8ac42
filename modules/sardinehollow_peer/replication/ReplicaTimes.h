#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::peer {

/** Delays, time-outs and back-off of the configuration replication. */
struct ReplicaTimes
{
    /**
     * Delay after the start, in which heartbeats establish the relay, before it reads the store.
     */
    core::Duration relaySettleDelay = std::chrono::seconds(1);
    /**
     * Grace period for an announcement to arrive before a daemon requests a newer configuration.
     */
    core::Duration announcementGrace = std::chrono::milliseconds(300);
    /** Time-out after which an unanswered request is sent to another daemon. */
    core::Duration requestTimeout = std::chrono::seconds(1);
    /** The same for a part that is read from the store. */
    core::Duration storeTimeout = std::chrono::seconds(3);
    /** Bounds of the exponential back-off between attempts to reach the store, before jitter. */
    core::Duration initialBackOff = std::chrono::seconds(2);
    core::Duration maximumBackOff = std::chrono::seconds(30);
};

} // namespace sardinehollow::peer
