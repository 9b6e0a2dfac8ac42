#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/entries/EntryDaemon.h"
#include "sardinehollow_routing/state/RoutingSettings.h"

#include <string>

namespace sardinehollow::gateway {

/** Settings of one daemon, read at startup. */
struct GatewaySettings
{
    /** This daemon's own directory entry. */
    routing::EntryDaemon self;
    /** Address of the readiness check. */
    std::string readinessAddress;
    /** Address at which callers query the directory of entry daemons. */
    std::string directoryAddress;
    /** Address of the metrics in Prometheus format; empty to disable them. */
    std::string metricsAddress;
    /** Address of the platform's store. */
    std::string storeAddress;
    routing::RoutingSettings routing;
    /** Whether the daemons measure the demand for services and tell each other. */
    bool sharesDemand = false;
    /** Time for which a caller may cache a directory response. */
    core::Duration directoryLifetime = std::chrono::seconds(2);
    /** Grace period from the stop signal until the process is killed. */
    core::Duration stopGrace = std::chrono::seconds(6);
    /** Longest time until a change in the store must be known to this daemon. */
    core::Duration maxStoreDelay = std::chrono::milliseconds(2500);
    /** Shortest lease time that the store grants. */
    std::chrono::seconds shortestLease {1};
    /** Time after an outage of the store for which a missing entry may still be written again. */
    core::Duration reappearanceTime = std::chrono::milliseconds(2200);
};

} // namespace sardinehollow::gateway
