#include "sardinehollow_standin/content/ByteRange.h"

#include <Poco/NumberParser.h>

#include <algorithm>

namespace sardinehollow::standin {

std::optional<ByteRange> parseRange(const std::string &field, std::uint64_t size)
{
    const std::string unit = "bytes=";
    const std::size_t dash = field.find('-');
    if (field.rfind(unit, 0) != 0 || dash == std::string::npos)
        return std::nullopt;
    Poco::UInt64 first = 0;
    Poco::UInt64 last = 0;
    const std::string firstText = field.substr(unit.size(), dash - unit.size());
    const std::string lastText = field.substr(dash + 1);
    const bool hasLast = Poco::NumberParser::tryParseUnsigned64(lastText, last);
    if (firstText.empty()) {
        if (!hasLast || last == 0 || size == 0)
            return std::nullopt;
        const std::uint64_t length = std::min<std::uint64_t>(last, size);
        return ByteRange {size - length, length};
    }
    if (!Poco::NumberParser::tryParseUnsigned64(firstText, first) || first >= size)
        return std::nullopt;
    if (!hasLast && !lastText.empty())
        return std::nullopt;
    const std::uint64_t end = hasLast ? std::min<std::uint64_t>(last, size - 1) : size - 1;
    if (end < first)
        return std::nullopt;
    return ByteRange {first, end - first + 1};
}

} // namespace sardinehollow::standin
