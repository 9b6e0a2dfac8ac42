#pragma once

#include <cstddef>
#include <string>

namespace sardinehollow::routing {

/** How requests are spread over backend servers. */
struct SelectionSettings
{
    /** Region of the daemon. */
    std::string region;
    /** Failure domain of the daemon. */
    std::string failureDomain;
    /** Servers of the own region that share the requests for an object. */
    std::size_t nearHomes = 1;
    /** Servers of other regions that take what the near ones cannot. */
    std::size_t farHomes = 1;
    /** Part of the latency objective that the expected latency may take. */
    double objectiveShare = 0.85;
    /** Load in slots up to which a server is used whatever latency is expected. */
    double smallestLoadLimit = 1.0;
    /** Load in slots above which a server gets nothing more: its queue would be full. */
    double largestLoadLimit = 3.5;
};

} // namespace sardinehollow::routing
