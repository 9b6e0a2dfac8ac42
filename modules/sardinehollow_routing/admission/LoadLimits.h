#pragma once

namespace sardinehollow::routing {

/** Limits on the load of a backend server that takes a further request, in requests per slot. */
struct LoadLimits
{
    /** Load below which a server takes a request whatever its expected latency. */
    double unconditional = 1.0;
    /** Load from which a server takes no request. */
    double maximum = 3.5;

    /**
     * Whether a server with this load takes a request, given whether the expected latency is within
     * the permitted share of the objective.
     */
    bool admit(double load, bool isLatencyPermitted) const
    {
        return load < unconditional || (load < maximum && isLatencyPermitted);
    }
};

} // namespace sardinehollow::routing
