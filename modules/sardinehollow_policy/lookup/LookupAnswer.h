#pragma once

#include "sardinehollow_policy/lookup/EntryOption.h"

#include <chrono>
#include <vector>

namespace sardinehollow::policy {

/** Entry VMs for one caller, in order of preference. */
struct LookupAnswer
{
    /** Generation of the configuration that the answer is based on. */
    std::uint64_t generation = 0;
    /** Time for which the caller may use the answer. */
    std::chrono::milliseconds lifetime {0};
    /** Claim scope of the most preferred failure domain that has one. */
    std::string claimScope;
    std::vector<EntryOption> entries;
};

} // namespace sardinehollow::policy
