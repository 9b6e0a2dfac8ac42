#pragma once

namespace sardinehollow::routing {

/** Limit on the requests of a team over all daemons together. */
struct TeamQuota
{
    /** Requests per second; 0 if there is no limit. */
    double ratePerSecond = 0;
    /** Requests above the rate that may run at once after a time of less demand. */
    double burst = 0;
};

} // namespace sardinehollow::routing
