#include "sardinehollow_network/http/BodyDecoder.h"

#include <Poco/NumberParser.h>

#include <algorithm>

namespace sardinehollow::network {

namespace {

using Kind = core::HttpBodyFraming::Kind;

constexpr std::size_t maxLineBytes = 16 * 1024;
constexpr std::size_t maxTrailerBytes = 16 * 1024;
// Bytes of chunk extensions of one body.
constexpr std::size_t maxExtensionBytes = 64 * 1024;
// Hexadecimal digits, without leading zeros.
constexpr std::size_t maxChunkSizeDigits = 12;

} // namespace

BodyDecoder::BodyDecoder(core::HttpBodyFraming framing)
    : m_framing(framing)
    , m_remaining(framing.length)
{ }

BodyDecoder::Status BodyDecoder::decode(std::string &buffer, std::string &body)
{
    std::string_view input = buffer;
    const Status status = decodeInput(input, body);
    // Erased once, since each call moves the rest of the buffer.
    buffer.erase(0, buffer.size() - input.size());
    return status;
}

BodyDecoder::Status BodyDecoder::decodeInput(std::string_view &input, std::string &body)
{
    switch (m_framing.kind) {
    case Kind::None:
        return Status::Done;
    case Kind::Fixed:
        return decodeFixed(input, body);
    case Kind::Chunked:
        return decodeChunked(input, body);
    case Kind::UntilClose:
        body += input;
        input = {};
        return Status::NeedsMore;
    case Kind::Malformed:
        return Status::Malformed;
    }
    return Status::Malformed;
}

BodyDecoder::Status BodyDecoder::decodeFixed(std::string_view &input, std::string &body)
{
    const std::size_t count = std::min<std::uint64_t>(input.size(), m_remaining);
    body += input.substr(0, count);
    input.remove_prefix(count);
    m_remaining -= count;
    return m_remaining == 0 ? Status::Done : Status::NeedsMore;
}

BodyDecoder::Status BodyDecoder::decodeChunked(std::string_view &input, std::string &body)
{
    while (!input.empty()) {
        if (m_part == Part::ChunkData) {
            if (decodeFixed(input, body) == Status::NeedsMore)
                return Status::NeedsMore;
            m_part = Part::ChunkEnd;
            continue;
        }
        const std::size_t end = input.find("\r\n");
        if (end == std::string_view::npos)
            return input.size() > maxLineBytes ? Status::Malformed : Status::NeedsMore;
        const std::string_view line = input.substr(0, end);
        input.remove_prefix(end + 2);
        // The same limit as for a line that has not ended yet: whether a line is accepted must not
        // depend on how it was divided into packets.
        if (line.size() > maxLineBytes)
            return Status::Malformed;
        if (m_part == Part::ChunkEnd) {
            if (!line.empty())
                return Status::Malformed;
            m_part = Part::ChunkSize;
        } else if (m_part == Part::ChunkSize) {
            if (!readChunkSize(line))
                return Status::Malformed;
            m_extensionBytes += line.size() - std::min(line.size(), line.find_first_of("; \t"));
            m_part = m_remaining == 0 ? Part::Trailer : Part::ChunkData;
        } else if (line.empty()) {
            return Status::Done;
        } else {
            m_trailerBytes += line.size();
        }
        if (m_trailerBytes > maxTrailerBytes || m_extensionBytes > maxExtensionBytes)
            return Status::Malformed;
    }
    return Status::NeedsMore;
}

bool BodyDecoder::readChunkSize(std::string_view line)
{
    std::string digits(line.substr(0, line.find_first_of("; \t")));
    const std::size_t leadingZeros = std::min(digits.find_first_not_of('0'), digits.size());
    // A size of zero keeps its last digit.
    if (leadingZeros > 0)
        digits.erase(0, std::min(leadingZeros, digits.size() - 1));
    Poco::UInt64 size = 0;
    const bool isNumber = !digits.empty() && digits.size() <= maxChunkSizeDigits
            && digits.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos
            && Poco::NumberParser::tryParseHex64(digits, size);
    m_remaining = size;
    return isNumber;
}

} // namespace sardinehollow::network
