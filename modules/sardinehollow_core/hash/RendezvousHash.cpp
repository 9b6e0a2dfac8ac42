#include "sardinehollow_core/hash/RendezvousHash.h"

#include "sardinehollow_core/hash/StableHash.h"

namespace sardinehollow::core {

std::optional<std::size_t> rendezvousOwner(std::string_view key,
                                           const std::vector<std::string> &candidates)
{
    const std::uint64_t keyHash = stableHash(key);
    std::optional<std::size_t> best;
    std::uint64_t bestWeight = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::uint64_t weight = combineHashes(stableHash(candidates[index]), keyHash);
        const bool wins = !best || weight > bestWeight
                || (weight == bestWeight && candidates[index] < candidates[*best]);
        if (!wins)
            continue;
        best = index;
        bestWeight = weight;
    }
    return best;
}

} // namespace sardinehollow::core
