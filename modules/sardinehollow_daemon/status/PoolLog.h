#pragma once

#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_policy/facade/PoolStatus.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sardinehollow::daemon {

/**
 * Logs the state that explains decisions on requests: the states of the backend servers and the
 * load of each pool. Each update logs changes only, in a bounded number of lines. Not safe for
 * concurrent use.
 */
class PoolLog
{
public:
    explicit PoolLog(logging::EventLog &log);

    /** Logs the changes since the last update. */
    void update(const std::vector<policy::PoolStatus> &pools);

private:
    struct Load
    {
        bool isAdmitting = false;
        std::uint32_t inFlight = 0;
        std::uint32_t queued = 0;
        /** Sum of the limits of the servers that this daemon dispatches to. */
        std::uint32_t limit = 0;

        bool operator==(const Load &) const = default;
    };

    static Load loadOf(const policy::PoolStatus &pool);
    void logServerChange(const std::string &pool, const policy::PoolStatus::Server &server);
    void write(const logging::LogLine &line);

    logging::EventLog &m_log;
    std::map<std::string, Load> m_lastLoads;
    /** Server states as last logged, by pool and server name. */
    std::map<std::pair<std::string, std::string>, policy::ServerState> m_lastServerStates;
    std::size_t m_writtenLines = 0;
};

} // namespace sardinehollow::daemon
