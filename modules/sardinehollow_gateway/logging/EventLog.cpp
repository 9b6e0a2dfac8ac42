#include "sardinehollow_gateway/logging/EventLog.h"

namespace sardinehollow::gateway {

namespace {

// About twice the requests of one daemon at the present deployments; a line costs about 10 us.
constexpr double requestLinesPerSecond = 200;
constexpr double requestLineBurst = 400;

} // namespace

EventLog::EventLog(spdlog::sink_ptr sink)
    : m_logger("events", std::move(sink))
    , m_permits(requestLinesPerSecond, requestLineBurst)
{
    m_logger.set_pattern(R"(%v,"time":"%Y-%m-%dT%H:%M:%S.%eZ"})", spdlog::pattern_time_type::utc);
}

void EventLog::request(const LogLine &line, core::Instant now)
{
    if (!m_permits.take(now)) {
        ++m_omitted;
        ++m_omittedSinceLine;
        return;
    }
    if (m_omittedSinceLine > 0) {
        state(LogLine("lines-omitted")
                      .number("count", static_cast<std::int64_t>(m_omittedSinceLine)));
        m_omittedSinceLine = 0;
    }
    state(line);
}

void EventLog::state(const LogLine &line)
{
    m_logger.info(spdlog::string_view_t(line.fields().data(), line.fields().size()));
}

} // namespace sardinehollow::gateway
