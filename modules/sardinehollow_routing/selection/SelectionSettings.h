#pragma once

#include <cstddef>
#include <string>

namespace sardinehollow::routing {

/** How requests are spread over backend servers. */
struct SelectionSettings
{
    /** Region of the daemon. */
    std::string region;
    /** Servers of the own region that share the requests for an object. */
    std::size_t nearHomes = 1;
    /** Servers of other regions that take what the near ones cannot. */
    std::size_t farHomes = 1;
    /** Load in slots above which a server gets nothing more; docs/platform.md has the trials. */
    double loadLimit = 2.0;
    /** Largest change a second of the share of requests that leave the region; 0 to 1. */
    double spillChangePerSecond = 0.06;
};

} // namespace sardinehollow::routing
