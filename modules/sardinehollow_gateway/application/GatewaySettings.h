#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/entries/EntryDaemon.h"
#include "sardinehollow_routing/state/RoutingSettings.h"

#include <string>

namespace sardinehollow::gateway {

/** What one daemon has to know before it starts. */
struct GatewaySettings
{
    /** This daemon as callers find it. */
    routing::EntryDaemon self;
    std::string readinessAddress;
    /** Address at which callers ask for entry daemons. */
    std::string directoryAddress;
    /** Address of the metrics; empty for none. */
    std::string metricsAddress;
    /** Address of the platform's store. */
    std::string storeAddress;
    routing::RoutingSettings routing;
    /** How long a caller may keep an answer of the directory. */
    core::Duration directoryLifetime = std::chrono::seconds(2);
    /** Time from the signal to stop until the process is killed. */
    core::Duration stopGrace = std::chrono::seconds(6);
    /** How long a change in the store may stay unknown to this daemon. */
    core::Duration changesKnownWithin = std::chrono::milliseconds(2500);
    /** Shortest lifetime of a lease in the store. */
    std::chrono::seconds shortestLease {1};
    /** How long after an outage of the store a missing entry may still come back. */
    core::Duration reappearanceTime = std::chrono::milliseconds(2200);
};

} // namespace sardinehollow::gateway
