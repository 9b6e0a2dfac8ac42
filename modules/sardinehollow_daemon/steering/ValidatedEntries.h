#pragma once

#include <cstdint>
#include <vector>

namespace sardinehollow::daemon {

/** The valid entries of a peer's message, after the check of its ranges and counts. */
template <typename Entry>
struct ValidatedEntries
{
    std::vector<Entry> accepted;
    /** Number of entries that failed the check. */
    std::uint64_t dropped = 0;
};

} // namespace sardinehollow::daemon
