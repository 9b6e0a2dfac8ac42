#include "sardinehollow_logging/EventLog.h"

#include <utility>

namespace sardinehollow::logging {

namespace {

// About twice the request rate of one daemon in the present deployments. Writing a line costs about
// 10 us.
constexpr double requestLinesPerSecond = 200;
constexpr double requestLineBurst = 400;
// For denied requests, which are few unless something is wrong.
constexpr double deniedLinesPerSecond = 20;
constexpr double deniedLineBurst = 40;
// Reporting omissions with each line about a request would double the lines in a lasting overload.
constexpr core::Duration omissionInterval = std::chrono::seconds(1);

} // namespace

EventLog::EventLog(spdlog::sink_ptr sink)
    : m_logger("events", std::move(sink))
    , m_requestTokens {core::TokenBucket(requestLinesPerSecond, requestLineBurst),
                       core::TokenBucket(deniedLinesPerSecond, deniedLineBurst)}
{
    m_logger.set_pattern(R"(%v,"time":"%Y-%m-%dT%H:%M:%S.%eZ"})", spdlog::pattern_time_type::utc);
}

EventLog::~EventLog()
{
    m_logger.flush();
}

void EventLog::writeRequest(const LogLine &line, core::Instant now)
{
    if (takeRequestToken(now, RequestClass::Usual))
        write(line);
}

bool EventLog::takeRequestToken(core::Instant now, RequestClass requestClass)
{
    std::uint64_t omitted = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_requestTokens[static_cast<std::size_t>(requestClass)].take(now)) {
            ++m_omitted;
            ++m_omittedSinceReport;
            return false;
        }
        if (now - m_omissionsReportedAt >= omissionInterval) {
            omitted = std::exchange(m_omittedSinceReport, 0);
            m_omissionsReportedAt = now;
        }
    }
    if (omitted > 0)
        write(LogLine("lines-omitted").number("count", static_cast<std::int64_t>(omitted)));
    return true;
}

void EventLog::write(const LogLine &line)
{
    m_logger.info(spdlog::string_view_t(line.fields().data(), line.fields().size()));
}

} // namespace sardinehollow::logging
