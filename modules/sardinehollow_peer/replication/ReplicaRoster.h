#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehollow::peer {

/** Daemons from which a replica can request a configuration. */
struct ReplicaRoster
{
    struct Source
    {
        std::string vm;
        std::uint64_t generation = 0;
    };

    /** Whether the local daemon is its failure domain's relay. */
    bool relay = false;
    /** Whether the other daemons have had time to report their generations. */
    bool generationsKnown = false;
    /** Live daemons of the local failure domain, without the local daemon. */
    std::vector<Source> members;
    /**
     * One daemon of each other failure domain, with the highest generation of that failure domain.
     */
    std::vector<Source> others;
};

} // namespace sardinehollow::peer
