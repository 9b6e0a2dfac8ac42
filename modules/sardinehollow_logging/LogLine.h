#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sardinehollow::logging {

/** Builds one structured log line: a JSON object with an event name and fields. */
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    LogLine &text(std::string_view name, std::string_view value);
    LogLine &number(std::string_view name, std::int64_t value);
    /** Adds a hash as hexadecimal text, because JSON numbers are not exact at 64 bits. */
    LogLine &hash(std::string_view name, std::uint64_t value);
    /** Adds a duration in whole milliseconds, rounded towards zero. */
    LogLine &milliseconds(std::string_view name, core::Duration value);

    /** Returns the object without its closing brace, so that a timestamp can be appended. */
    const std::string &fields() const { return m_fields; }

private:
    void addName(std::string_view name);

    std::string m_fields;
};

} // namespace sardinehollow::logging
