#pragma once

namespace sardinehollow::routing {

/** Share of a region's requests that other regions are to serve, by measured demand. */
struct SpillTarget
{
    /** 0 to 1. */
    double level = 0;
    /** The same for large responses, which leave later and less. */
    double largeResponseLevel = 0;
    /** Whether the region's servers are below their target utilisation. */
    bool hasCapacity = false;
    /**
     * Whether more requests may leave if the region has no capacity for them: its servers are at
     * their target utilisation, and those of all regions together are not.
     */
    bool mayBeExceeded = false;
};

} // namespace sardinehollow::routing
