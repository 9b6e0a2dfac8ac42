#include "sardinehollow_sharing/relays/RelaySelection.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <vector>

namespace sardinehollow::sharing {

namespace {

// With two relays, followers stay up to date while one of them fails or is replaced.
constexpr std::size_t relayCount = 2;
// Below this size, sharing saves too few calls to be worth its messages.
constexpr std::size_t minimumSharingSize = 4;

} // namespace

std::set<std::string> selectRelays(const std::map<std::string, VmCapacity> &members)
{
    using Rank = std::tuple<VmCapacity, std::uint64_t, std::string>;
    std::vector<Rank> ranked;
    for (const auto &[name, capacity] : members)
        ranked.emplace_back(capacity, core::stableHash(name), name);
    const std::size_t count = members.size() < minimumSharingSize ? members.size() : relayCount;
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    std::set<std::string> relays;
    for (std::size_t index = 0; index < count; ++index)
        relays.insert(std::get<std::string>(ranked[index]));
    return relays;
}

} // namespace sardinehollow::sharing
