#pragma once

#include "sardinehollow_policy/facade/ServerState.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehollow::policy {

/** State of one backend pool, for operators. */
struct PoolStatus
{
    struct Rank
    {
        std::string name;
        std::uint32_t queued = 0;
        std::uint32_t inFlight = 0;
        /** The rank's floor share, converted to slots of this daemon. */
        double floorSlots = 0.0;
    };
    struct Server
    {
        std::string name;
        ServerState state = ServerState::NotOwned;
        std::uint32_t inFlight = 0;
        std::uint32_t limit = 0;
    };

    std::string pool;
    /** Whether the daemon's lease on its slots is in force. */
    bool admitting = false;
    std::vector<Rank> ranks;
    std::vector<Server> servers;
    /** Results of attempts that arrived when the attempt was no longer the current one. */
    std::uint64_t lateCompletions = 0;
    std::uint64_t retries = 0;
    std::uint64_t forwards = 0;
};

} // namespace sardinehollow::policy
