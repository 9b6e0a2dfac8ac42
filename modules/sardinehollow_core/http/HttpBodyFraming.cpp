#include "sardinehollow_core/http/HttpBodyFraming.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>
#include <optional>

namespace sardinehollow::core {

namespace {

using Kind = HttpBodyFraming::Kind;

// Below 10^15 bytes, so that sums of lengths cannot overflow.
// Without leading zeros.
constexpr std::size_t maximumLengthDigits = 15;

std::optional<std::uint64_t> parseLength(const std::string &text)
{
    const bool isNumber = !text.empty()
            && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    const std::size_t leadingZeros = std::min(text.find_first_not_of('0'), text.size());
    if (!isNumber || text.size() - leadingZeros > maximumLengthDigits)
        return std::nullopt;
    Poco::UInt64 length = 0;
    if (!Poco::NumberParser::tryParseUnsigned64(text, length))
        return std::nullopt;
    return length;
}

// Evaluates Transfer-Encoding and Content-Length, which requests and responses share. The fallback
// applies to a message with neither field.
HttpBodyFraming framingFromFields(const Poco::Net::MessageHeader &header, Kind fallback)
{
    const bool chunked = header.has("Transfer-Encoding");
    std::optional<std::uint64_t> length;
    for (const auto &[name, value] : header) {
        if (Poco::icompare(name, "Transfer-Encoding") == 0 && Poco::icompare(value, "chunked") != 0)
            return {Kind::Malformed, 0};
        if (Poco::icompare(name, "Content-Length") != 0)
            continue;
        const std::optional<std::uint64_t> parsed = parseLength(value);
        const bool contradicts = chunked || !parsed || (length && *length != *parsed);
        if (contradicts)
            return {Kind::Malformed, 0};
        length = parsed;
    }
    if (chunked)
        return {Kind::Chunked, 0};
    return length ? HttpBodyFraming {Kind::Fixed, *length} : HttpBodyFraming {fallback, 0};
}

} // namespace

HttpBodyFraming framingOf(const Poco::Net::HTTPRequest &request)
{
    return framingFromFields(request, Kind::None);
}

HttpBodyFraming framingOf(const Poco::Net::HTTPResponse &response, const std::string &method)
{
    using Poco::Net::HTTPResponse;
    const int status = response.getStatus();
    const bool bodiless = method == Poco::Net::HTTPRequest::HTTP_HEAD
            || status < HTTPResponse::HTTP_OK || status == HTTPResponse::HTTP_NO_CONTENT
            || status == HTTPResponse::HTTP_NOT_MODIFIED;
    if (bodiless)
        return {};
    return framingFromFields(response, Kind::UntilClose);
}

} // namespace sardinehollow::core
