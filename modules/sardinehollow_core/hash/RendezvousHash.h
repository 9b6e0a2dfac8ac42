#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinehollow::core {

/**
 * Selects the owner of a key by rendezvous hashing (highest random weight). Returns the index of
 * the candidate, or nothing if there are none. Removing a candidate moves only the keys that it
 * owned.
 */
std::optional<std::size_t> rendezvousOwner(std::string_view key,
                                           const std::vector<std::string> &candidates);

} // namespace sardinehollow::core
