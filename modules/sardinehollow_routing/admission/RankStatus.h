#pragma once

#include "sardinehollow_routing/admission/LoadLimits.h"

#include <string>

namespace sardinehollow::routing {

/** Limits of one rank at a service, with the inputs that led to them. */
struct RankStatus
{
    std::string service;
    int rank = 0;
    LoadLimits limits;
    /** Reserve for more urgent ranks: 0 for none, 1 for the largest. */
    double reserve = 0;
    /** Largest share of recent requests that were refused or late, among more urgent ranks. */
    double urgentUnservedShare = 0;
    /** Share of the service's recent requests that were refused, of all ranks. */
    double refusedShare = 0;
    /** Number of the service's recent requests, weighted by age. */
    double recentRequests = 0;
};

} // namespace sardinehollow::routing
