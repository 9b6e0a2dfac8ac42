#pragma once

#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_policy/facade/PoolStatus.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sardinehollow::daemon {

/**
 * Logs what the decisions on requests rest on: which backend servers get work, and how full each
 * pool is. Each look writes a bounded number of lines, for what has changed. Not safe for
 * concurrent use.
 */
class PoolLog
{
public:
    explicit PoolLog(logging::EventLog &log);

    void look(const std::vector<policy::PoolStatus> &pools);

private:
    struct Load
    {
        bool isAdmitting = false;
        std::uint32_t inFlight = 0;
        std::uint32_t queued = 0;
        /** Of the servers that get work. */
        std::uint32_t limit = 0;

        bool operator==(const Load &) const = default;
    };

    static Load loadOf(const policy::PoolStatus &pool);
    void lookAtServer(const std::string &pool, const policy::PoolStatus::Server &server);
    void write(const logging::LogLine &line);

    logging::EventLog &m_log;
    std::map<std::string, Load> m_loads;
    /** By pool and name. */
    std::map<std::pair<std::string, std::string>, policy::ServerState> m_servers;
    std::size_t m_lines = 0;
};

} // namespace sardinehollow::daemon
