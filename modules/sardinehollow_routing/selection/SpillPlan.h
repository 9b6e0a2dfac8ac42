#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::routing {

/** Shares of a region or failure domain in the whole deployment; 0 to 1, and 0 if unknown. */
struct DemandShares
{
    /** Share of all entry daemons that are in this daemon's region. */
    double region = 0;
    /** Share of all entry daemons that are in this daemon's failure domain. */
    double failureDomain = 0;
};

/**
 * Returns the share of a region's requests that other regions are to serve from the start, given
 * the region's shares in the slots of a service and in the requests for it. It is 0 for a region
 * that has about its share of the slots, or if a share is unknown. Large responses, which cost more
 * to transfer, leave later and less.
 */
double plannedSpill(double capacityShare, double demandShare, bool hasLargeResponses);

/**
 * Returns the share of a region's requests that other regions are to serve by measured demand. The
 * region keeps what its servers can serve at the target utilisation, or at the mean utilisation of
 * all servers if that is higher, so that overloaded regions are utilised equally.
 */
double measuredSpill(double expectedUtilization, double meanUtilization, bool hasLargeResponses);

/** Whether the utilisation of a region's servers is below the target. */
bool isBelowTarget(double utilization);

/** Returns the level after it has approached the target for some time, by at most 0.05 a second. */
double approachedLevel(double level, double target, core::Duration elapsed);

/**
 * Whether the servers of a failure domain can serve the large responses for its callers, given its
 * shares in the slots of a service and in the requests for it.
 */
bool hasDomainCapacity(double capacityShare, double demandShare);

} // namespace sardinehollow::routing
