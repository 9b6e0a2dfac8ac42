#pragma once

#include <cstdint>
#include <string_view>

namespace sardinehollow::core {

/** Returns a 64-bit FNV-1a hash with mixed bits; the same in every process and version. */
std::uint64_t stableHash(std::string_view text);

/** Combines two hashes; the result depends on their order. */
std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second);

/** Maps a hash uniformly to [0, 1). */
double hashToUnit(std::uint64_t hash);

} // namespace sardinehollow::core
