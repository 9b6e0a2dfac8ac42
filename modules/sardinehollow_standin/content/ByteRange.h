#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sardinehollow::standin {

/** The bytes [first, first + length) of a body. */
struct ByteRange
{
    std::uint64_t first = 0;
    std::uint64_t length = 0;

    bool operator==(const ByteRange &) const = default;
};

/**
 * Parses the value of a Range header with a single range of a body of the given size in bytes;
 * returns std::nullopt if the range is malformed or cannot be satisfied.
 */
std::optional<ByteRange> parseRange(const std::string &field, std::uint64_t size);

} // namespace sardinehollow::standin
