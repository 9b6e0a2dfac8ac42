#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** An entry VM to which a caller may send its requests. */
struct EntryOption
{
    std::string address;
    std::string failureDomain;
    std::string region;
    /** Relative share of callers, from 10 (fully loaded) to 100 (idle). */
    std::uint32_t weight = 0;

    bool operator==(const EntryOption &) const = default;
};

} // namespace sardinehollow::policy
