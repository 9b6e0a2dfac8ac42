#pragma once

namespace sardinehollow::routing {

/** Settings that apply to all backend servers of a service. */
struct ServicePolicy
{
    /** Requests per second that a cold server accepts from all daemons together; 0: unlimited. */
    double coldRequestsPerSecond = 0;
};

} // namespace sardinehollow::routing
