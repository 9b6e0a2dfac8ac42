#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::policy {

/** State of one pool that a slot owner sends to its peers, at least with each heartbeat. */
struct PoolSummary
{
    struct Rank
    {
        /** Slots available to requests of the rank now; 0 while requests of the rank are queued. */
        std::uint32_t freeSlots = 0;
        /** Estimated waiting time of a request that joins the rank's queue. */
        core::Duration wait {0};
    };

    std::string vm;
    std::string pool;
    /** In the order of the configuration. */
    std::vector<Rank> ranks;
    /** Requests still in flight on backend servers that the sender no longer owns, by name. */
    std::map<std::string, std::uint32_t> inFlightElsewhere;
    /**
     * Backend servers that the sender owned and for which it has stopped admitting requests, so
     * that the new owner may skip its hold-off.
     */
    std::set<std::string> released = {};
};

} // namespace sardinehollow::policy
