#include "sardinehollow_logging/LogLine.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace sardinehollow::logging {

namespace {

// Replaces quotes, backslashes and bytes outside printable ASCII with '?': callers can put them
// into paths, and they would make the line invalid.
void appendQuoted(std::string &text, std::string_view value)
{
    text += '"';
    for (const char character : value) {
        const bool isPlain
                = character >= 0x20 && character < 0x7f && character != '"' && character != '\\';
        text += isPlain ? character : '?';
    }
    text += '"';
}

} // namespace

LogLine::LogLine(std::string_view event)
{
    text("event", event);
}

LogLine &LogLine::text(std::string_view name, std::string_view value)
{
    addName(name);
    appendQuoted(m_fields, value);
    return *this;
}

LogLine &LogLine::number(std::string_view name, std::int64_t value)
{
    addName(name);
    m_fields += std::to_string(value);
    return *this;
}

LogLine &LogLine::hash(std::string_view name, std::uint64_t value)
{
    std::array<char, 17> digits {};
    const int count = std::snprintf(digits.data(), digits.size(), "%" PRIX64, value);
    return text(name, std::string_view(digits.data(), static_cast<std::size_t>(count)));
}

LogLine &LogLine::milliseconds(std::string_view name, core::Duration value)
{
    return number(name, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

void LogLine::addName(std::string_view name)
{
    m_fields += m_fields.empty() ? '{' : ',';
    appendQuoted(m_fields, name);
    m_fields += ':';
}

} // namespace sardinehollow::logging
