#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <string>

namespace sardinehollow::routing {

/** What all backend servers of a service have in common. */
struct ServicePolicy
{
    std::string healthPath;
    /** Connections that a backend server accepts from all daemons together. */
    std::uint32_t maximumConnections = 0;
    /** Requests a second that a cold backend server bears from all daemons together; 0: any. */
    double coldRequestsPerSecond = 0;
};

} // namespace sardinehollow::routing
