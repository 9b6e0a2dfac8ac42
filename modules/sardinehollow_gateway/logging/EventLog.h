#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_gateway/logging/LogLine.h"
#include "sardinehollow_routing/budgets/TokenBucket.h"

#include <spdlog/logger.h>

#include <cstdint>
#include <memory>

namespace sardinehollow::gateway {

/**
 * The daemon's structured log. Lines about requests are bounded in number; what is left out is
 * counted and said. Not safe for concurrent use.
 */
class EventLog
{
public:
    /** The sink must not block. */
    explicit EventLog(spdlog::sink_ptr sink);

    /** Writes a line about one request, if the bound allows it. */
    void request(const LogLine &line, core::Instant now);
    /** Writes a line about the daemon itself: start, stop, beliefs and dependencies. */
    void state(const LogLine &line);

    /** Hands buffered lines to the descriptor. */
    void flush() { m_logger.flush(); }

    std::uint64_t omitted() const { return m_omitted; }

private:
    spdlog::logger m_logger;
    routing::TokenBucket m_permits;
    std::uint64_t m_omitted = 0;
    std::uint64_t m_omittedSinceLine = 0;
};

} // namespace sardinehollow::gateway
