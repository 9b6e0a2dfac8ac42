#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_core/time/TokenBucket.h"
#include "sardinehollow_logging/LogLine.h"

#include <spdlog/logger.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace sardinehollow::logging {

/**
 * The daemon's structured log. Lines about requests are bounded in number; what is left out is
 * counted and said. Safe for concurrent use.
 */
class EventLog
{
public:
    /** The sink must not block, and be safe for concurrent use if the log is used so. */
    explicit EventLog(spdlog::sink_ptr sink);
    /** Hands over what is buffered. */
    ~EventLog();

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /** Writes a line about one request, if the bound allows it. */
    void writeRequest(const LogLine &line, core::Instant now);
    /** The same for a line that is built only if it is written. */
    template <typename Build>
    void writeRequestWith(const Build &build, core::Instant now)
    {
        if (takePermit(now))
            write(build());
    }
    /** Writes a line about the daemon itself: start, stop, beliefs and dependencies. */
    void write(const LogLine &line);

    /** Hands buffered lines to the descriptor. */
    void flush() { m_logger.flush(); }

    std::uint64_t omittedLines() const { return m_omitted; }

private:
    /** Counts a line that is left out, and says at times how many were. */
    bool takePermit(core::Instant now);

    spdlog::logger m_logger;
    std::mutex m_mutex;
    core::TokenBucket m_permits;
    std::uint64_t m_omittedSinceLine = 0;
    core::Instant m_omissionsSaidAt {0};
    std::atomic<std::uint64_t> m_omitted {0};
};

} // namespace sardinehollow::logging
