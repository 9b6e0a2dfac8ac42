#include "sardinehollow_standin/content/Content.h"

#include "sardinehollow_core/hash/StableHash.h"

namespace sardinehollow::standin {

std::string contentFor(std::string_view identity, std::uint64_t offset, std::size_t length)
{
    constexpr std::uint64_t wordBytes = 8;
    const std::uint64_t seed = core::stableHash(identity);
    std::string content;
    content.reserve(length + wordBytes);
    const std::uint64_t first = offset / wordBytes;
    for (std::uint64_t word = first; content.size() < length + offset % wordBytes; ++word) {
        std::uint64_t value = core::combineHashes(seed, word);
        for (std::uint64_t index = 0; index < wordBytes; ++index) {
            // Lower-case letters keep the content printable.
            content += static_cast<char>('a' + value % 26);
            value >>= 8U;
        }
    }
    return content.substr(offset % wordBytes, length);
}

} // namespace sardinehollow::standin
