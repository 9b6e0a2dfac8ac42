#pragma once

namespace sardinehollow::routing {

/** Demand in a region for a service. */
struct RegionDemand
{
    /** Share of the service's requests that arrive in the region; 0 to 1. */
    double arrivalShare = 0;
    /** Requests in flight to the region's backend servers, per slot; above 1 if some wait. */
    double load = 0;
    bool operator==(const RegionDemand &) const = default;
};

} // namespace sardinehollow::routing
