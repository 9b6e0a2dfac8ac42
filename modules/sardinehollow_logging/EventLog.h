#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_core/time/TokenBucket.h"
#include "sardinehollow_logging/LogLine.h"

#include <spdlog/logger.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>

namespace sardinehollow::logging {

/**
 * The daemon's structured log. Token buckets limit the rate of lines about requests; omitted lines
 * are counted, and a "lines-omitted" line reports their number. Safe for concurrent use.
 */
class EventLog
{
public:
    /** The sink must not block. If the log is used concurrently, the sink must be thread-safe. */
    explicit EventLog(spdlog::sink_ptr sink);
    /** Flushes buffered lines. */
    ~EventLog();

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    enum class RequestClass {
        Usual,
        /** Has a rate limit of its own, so that many usual lines do not displace these. */
        Denied,
        Count,
    };

    /** Writes a line about one request if the rate limit allows it; counts it as omitted if not. */
    void writeRequest(const LogLine &line, core::Instant now);
    /** Does the same with a line that is built only if it is written. */
    template <typename Build>
    void writeRequestWith(const Build &build, core::Instant now,
                          RequestClass requestClass = RequestClass::Usual)
    {
        if (takeRequestToken(now, requestClass))
            write(build());
    }
    /**
     * Writes a line about the daemon itself, without a rate limit: start, stop, its view of other
     * systems and its dependencies.
     */
    void write(const LogLine &line);

    /** Flushes the lines that the sink has buffered. */
    void flush() { m_logger.flush(); }

    /** Returns the number of lines about requests that the rate limit has omitted. */
    std::uint64_t omittedLines() const { return m_omitted; }

private:
    /**
     * Takes a token for a line about a request. Counts the line as omitted if there is none.
     * Otherwise it reports earlier omissions, at most once per interval, and returns true.
     */
    bool takeRequestToken(core::Instant now, RequestClass requestClass);

    spdlog::logger m_logger;
    std::mutex m_mutex;
    /** By class of request. */
    std::array<core::TokenBucket, static_cast<std::size_t>(RequestClass::Count)> m_requestTokens;
    std::uint64_t m_omittedSinceReport = 0;
    core::Instant m_omissionsReportedAt {0};
    std::atomic<std::uint64_t> m_omitted {0};
};

} // namespace sardinehollow::logging
