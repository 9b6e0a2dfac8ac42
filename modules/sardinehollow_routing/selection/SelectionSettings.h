#pragma once

#include <cstddef>
#include <string>

namespace sardinehollow::routing {

/** Load balancing of requests over backend servers. */
struct SelectionSettings
{
    /** Region of the daemon. */
    std::string region;
    /** Failure domain of the daemon. */
    std::string failureDomain;
    /** Number of servers in the daemon's region that share the requests for an object. */
    std::size_t nearHomes = 1;
    /** Number of servers in other regions that take spilled requests for an object. */
    std::size_t farHomes = 1;
    /**
     * Whether an object's requests go to another of its first servers while its first one has more
     * load than others; replaces the numbers of homes.
     */
    bool evenLoad = false;
    /** Share of the latency objective that the expected latency may use up; 0 to 1. */
    double latencyObjectiveShare = 0.85;
    /** Load per slot below which a server is used whatever its expected latency. */
    double unconditionalLoadLimit = 1.0;
    /** Load per slot from which a server gets no more requests: its queue would be full. */
    double maximumLoad = 3.5;
    /**
     * Largest share of a server's slots that is kept free for more urgent requests while these are
     * refused or late; with 0, only the queue is.
     */
    double reservedSlotShare = 0;
};

} // namespace sardinehollow::routing
