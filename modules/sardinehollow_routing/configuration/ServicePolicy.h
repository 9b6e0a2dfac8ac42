#pragma once

namespace sardinehollow::routing {

/** What all backend servers of a service have in common. */
struct ServicePolicy
{
    /** Requests a second that a cold backend server bears from all daemons together; 0: any. */
    double coldRequestsPerSecond = 0;
};

} // namespace sardinehollow::routing
