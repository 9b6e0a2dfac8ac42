#include "sardinehollow_network/http/HeadReader.h"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <optional>
#include <string_view>

namespace sardinehollow::network {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view tokenSymbols = "!#$%&'*+-.^_`|~";

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0
                || tokenSymbols.find(character) != std::string_view::npos;
    });
}

// Rejects bare CR or LF and other control characters, which HTTP implementations parse differently.
bool isFieldText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string_view takeLine(std::string_view &text)
{
    const std::size_t end = text.find(lineEnd);
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + lineEnd.size());
    return line;
}

// A folded line (obs-fold) begins with white space, so its name is not a token and is rejected.
HeadStatus readFields(std::string_view text, Poco::Net::MessageHeader &header)
{
    std::size_t fields = 0;
    while (!text.empty()) {
        // MessageHeader::add() compares the name with those of all fields before it.
        if (++fields > maxHeadFields)
            return HeadStatus::TooLarge;
        const std::string_view line = takeLine(text);
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))
            || !isFieldText(line))
            return HeadStatus::Malformed;
        header.add(std::string(line.substr(0, colon)), std::string(trim(line.substr(colon + 1))));
    }
    return HeadStatus::Complete;
}

bool isVersion(std::string_view text)
{
    return text == "HTTP/1.1" || text == "HTTP/1.0";
}

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool hasVersionForm(std::string_view text)
{
    return text.size() == 8 && text.substr(0, 5) == "HTTP/" && isDigit(text[5]) && text[6] == '.'
            && isDigit(text[7]);
}

HeadStatus readRequestLine(std::string_view line, Poco::Net::HTTPRequest &request)
{
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string_view::npos || last == first)
        return HeadStatus::Malformed;
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    const bool isValid = isToken(method) && !target.empty() && target.front() == '/'
            && target.find(' ') == std::string_view::npos && isFieldText(target)
            && hasVersionForm(version);
    if (!isValid)
        return HeadStatus::Malformed;
    if (!isVersion(version))
        return HeadStatus::UnsupportedVersion;
    request.setMethod(std::string(method));
    request.setURI(std::string(target));
    request.setVersion(std::string(version));
    return HeadStatus::Complete;
}

// Returns nothing unless the text is a status of three digits with a class that HTTP defines:
// readers of a response disagree on any other.
std::optional<unsigned> parseStatus(std::string_view text)
{
    constexpr unsigned minimumStatus = 100;
    constexpr unsigned maximumStatus = 599;
    unsigned status = 0;
    const bool isValid = text.size() == 3 && std::all_of(text.begin(), text.end(), isDigit)
            && Poco::NumberParser::tryParseUnsigned(std::string(text), status)
            && status >= minimumStatus && status <= maximumStatus;
    return isValid ? std::optional(status) : std::nullopt;
}

HeadStatus readStatusLine(std::string_view line, Poco::Net::HTTPResponse &response)
{
    constexpr std::size_t statusPosition = 9;
    if (line.size() < statusPosition || !isVersion(line.substr(0, 8))
        || line[statusPosition - 1] != ' ')
        return HeadStatus::Malformed;
    const std::size_t statusEnd = std::min(line.find(' ', statusPosition), line.size());
    const std::optional<unsigned> status
            = parseStatus(line.substr(statusPosition, statusEnd - statusPosition));
    if (!status)
        return HeadStatus::Malformed;
    response.setVersion(std::string(line.substr(0, 8)));
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(*status));
    const std::size_t reason = std::min(statusEnd + 1, line.size());
    response.setReason(std::string(line.substr(reason)));
    return isFieldText(line) ? HeadStatus::Complete : HeadStatus::Malformed;
}

} // namespace

template <typename Message, typename ReadFirstLine>
HeadStatus HeadReader::readMessage(std::string &buffer, std::size_t limit, Message &message,
                                   ReadFirstLine readFirstLine)
{
    skipEmptyLines(buffer);
    // The end may lie across the bytes searched before and those that have arrived since.
    const std::size_t overlap = std::min(m_searchedBytes, headEnd.size() - 1);
    const std::size_t end = buffer.find(headEnd, m_searchedBytes - overlap);
    if (std::min(end, buffer.size()) + m_skippedBytes > limit)
        return HeadStatus::TooLarge;
    if (end == std::string::npos) {
        m_searchedBytes = buffer.size();
        return HeadStatus::Incomplete;
    }
    std::string_view text(buffer.data(), end);
    HeadStatus status = readFirstLine(takeLine(text), message);
    if (status == HeadStatus::Complete)
        status = readFields(text, message);
    buffer.erase(0, end + headEnd.size());
    m_headBytes = m_skippedBytes + end + headEnd.size();
    m_skippedBytes = 0;
    m_searchedBytes = 0;
    return status;
}

// Some senders put empty lines before a message (RFC 9112, 2.2).
void HeadReader::skipEmptyLines(std::string &buffer)
{
    std::size_t count = 0;
    while (buffer.compare(count, lineEnd.size(), lineEnd) == 0)
        count += lineEnd.size();
    if (count == 0)
        return;
    buffer.erase(0, count);
    m_skippedBytes += count;
    m_searchedBytes = 0;
}

HeadStatus HeadReader::read(std::string &buffer, std::size_t limit, Poco::Net::HTTPRequest &request)
{
    return readMessage(buffer, limit, request, readRequestLine);
}

HeadStatus HeadReader::read(std::string &buffer, std::size_t limit,
                            Poco::Net::HTTPResponse &response)
{
    return readMessage(buffer, limit, response, readStatusLine);
}

} // namespace sardinehollow::network
