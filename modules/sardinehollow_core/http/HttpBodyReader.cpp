#include "sardinehollow_core/http/HttpBodyReader.h"

#include "sardinehollow_core/http/SessionAccess.h"

#include <Poco/NumberParser.h>

#include <algorithm>

namespace sardinehollow::core {

namespace {

using Kind = HttpBodyFraming::Kind;

constexpr std::size_t maximumLineBytes = 4096;
constexpr std::size_t maximumTrailerLines = 64;
constexpr std::size_t maximumChunkSizeDigits = 12; // hexadecimal digits

} // namespace

HttpBodyReader::HttpBodyReader(Poco::Net::HTTPSession &session, HttpBodyFraming framing)
    : m_session(session)
    , m_framing(framing)
    , m_remaining(framing.length)
{
    const bool empty
            = framing.kind == Kind::None || (framing.kind == Kind::Fixed && framing.length == 0);
    if (empty)
        finish(true);
    if (framing.kind == Kind::Malformed)
        finish(false);
}

std::size_t HttpBodyReader::read(char *buffer, std::size_t size)
{
    if (m_atEnd)
        return 0;
    if (m_framing.kind == Kind::Chunked)
        return readChunked(buffer, size);
    if (m_framing.kind == Kind::Fixed)
        return readFixed(buffer, size);
    const int count = SessionAccess::receive(m_session, buffer, size);
    if (count <= 0)
        finish(false);
    return static_cast<std::size_t>(std::max(count, 0));
}

std::size_t HttpBodyReader::readFixed(char *buffer, std::size_t size)
{
    const std::size_t wanted = std::min<std::uint64_t>(size, m_remaining);
    const int count = SessionAccess::receive(m_session, buffer, wanted);
    if (count <= 0) {
        finish(false);
        return 0;
    }
    m_remaining -= static_cast<std::uint64_t>(count);
    if (m_remaining == 0 && m_framing.kind == Kind::Fixed)
        finish(true);
    return static_cast<std::size_t>(count);
}

std::size_t HttpBodyReader::readChunked(char *buffer, std::size_t size)
{
    if (m_remaining == 0 && !startChunk()) {
        finish(false);
        return 0;
    }
    if (m_remaining == 0) {
        finish(readTrailer());
        return 0;
    }
    return readFixed(buffer, size);
}

bool HttpBodyReader::startChunk()
{
    std::string line;
    // A line break follows the data of each chunk.
    if (!m_firstChunk && (!readLine(line) || !line.empty()))
        return false;
    m_firstChunk = false;
    if (!readLine(line))
        return false;
    const std::string digits = line.substr(0, line.find_first_of("; \t"));
    Poco::UInt64 size = 0;
    if (digits.empty() || digits.size() > maximumChunkSizeDigits
        || !Poco::NumberParser::tryParseHex64(digits, size))
        return false;
    m_remaining = size;
    return true;
}

bool HttpBodyReader::readLine(std::string &line)
{
    line.clear();
    for (int byte = SessionAccess::receiveByte(m_session); byte != '\n';
         byte = SessionAccess::receiveByte(m_session)) {
        if (byte < 0 || line.size() >= maximumLineBytes)
            return false;
        line += static_cast<char>(byte);
    }
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    return true;
}

bool HttpBodyReader::readTrailer()
{
    std::string line;
    for (std::size_t count = 0; count < maximumTrailerLines; ++count) {
        if (!readLine(line))
            return false;
        if (line.empty())
            return true;
    }
    return false;
}

void HttpBodyReader::finish(bool complete)
{
    m_atEnd = true;
    m_complete = complete;
}

} // namespace sardinehollow::core
