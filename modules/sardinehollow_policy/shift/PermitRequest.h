#pragma once

#include "sardinehollow_policy/shift/PermitHolder.h"

#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** A daemon asks the cap enforcer of a shift for permits and reports those it has used. */
struct PermitRequest
{
    std::string shift;
    PermitHolder holder;
    /** Incarnation of the cap enforcer that the permits held came from; 0 if none. */
    std::uint64_t enforcerIncarnation = 0;
    /** Configuration in force at the holder; acknowledges earlier changes of the cap. */
    std::uint64_t generation = 0;
    /** Increases with each request of the holder's incarnation. */
    std::uint64_t sequence = 0;
    /** Permits that the holder would like to have in hand. */
    std::uint32_t wanted = 0;
    /** Permits in hand; the holder uses no others but those of the answer to this request. */
    std::uint32_t holding = 0;
    /** Permits used since the holder started. */
    std::uint64_t spent = 0;

    bool operator==(const PermitRequest &) const = default;
};

} // namespace sardinehollow::policy
