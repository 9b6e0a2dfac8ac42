#pragma once

#include "sardinehollow_policy/shift/PermitHolder.h"

#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** Request of a daemon to the cap enforcer of a shift for permits, with a report of those used. */
struct PermitRequest
{
    std::string shift;
    PermitHolder holder;
    /** Incarnation of the cap enforcer that granted the holder's permits; 0 if none. */
    std::uint64_t enforcerIncarnation = 0;
    /** Generation of the holder's configuration; acknowledges all changes of the cap up to it. */
    std::uint64_t generation = 0;
    /** Increases with each request of the same holder. */
    std::uint64_t sequence = 0;
    /** Number of unused permits that the holder wants to have. */
    std::uint32_t wanted = 0;
    /**
     * Unused permits that the holder has. Apart from these, it uses only permits granted in
     * response to this request.
     */
    std::uint32_t holding = 0;
    /** Total number of permits used since the holder started. */
    std::uint64_t spent = 0;

    bool operator==(const PermitRequest &) const = default;
};

} // namespace sardinehollow::policy
