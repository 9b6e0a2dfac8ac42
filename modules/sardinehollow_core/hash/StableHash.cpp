#include "sardinehollow_core/hash/StableHash.h"

namespace sardinehollow::core {

namespace {

// Finalizer of MurmurHash3; FNV-1a alone leaves the high bits of short texts poorly mixed.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return mix(hash);
}

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second)
{
    return mix(first * 0x9e3779b97f4a7c15ULL + second);
}

double hashToUnit(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11U) / 9007199254740992.0;
}

} // namespace sardinehollow::core
