#include "sardinehollow_daemon/status/PoolLog.h"

namespace sardinehollow::daemon {

namespace {

// When a failure domain fails or returns, hundreds of servers change at once. Once an update has
// written this many lines, the remaining server changes are left to later updates.
constexpr std::size_t serverLineLimit = 100;

} // namespace

PoolLog::PoolLog(logging::EventLog &log)
    : m_log(log)
{ }

void PoolLog::update(const std::vector<policy::PoolStatus> &pools)
{
    m_writtenLines = 0;
    for (const policy::PoolStatus &pool : pools) {
        for (const policy::PoolStatus::Server &server : pool.servers)
            logServerChange(pool.pool, server);
        const Load load = loadOf(pool);
        if (m_lastLoads[pool.pool] == load)
            continue;
        m_lastLoads[pool.pool] = load;
        write(logging::LogLine("pool-load")
                      .text("pool", pool.pool)
                      .text("admitting", load.isAdmitting ? "yes" : "no")
                      .number("inFlight", load.inFlight)
                      .number("queued", load.queued)
                      .number("limit", load.limit));
    }
}

PoolLog::Load PoolLog::loadOf(const policy::PoolStatus &pool)
{
    Load load;
    load.isAdmitting = pool.admitting;
    for (const policy::PoolStatus::Rank &rank : pool.ranks)
        load.queued += rank.queued;
    for (const policy::PoolStatus::Server &server : pool.servers) {
        load.inFlight += server.inFlight;
        // Slots that another daemon owns or that get no requests are not available here.
        load.limit += server.state == policy::ServerState::Serving ? server.limit : 0;
    }
    return load;
}

void PoolLog::logServerChange(const std::string &pool, const policy::PoolStatus::Server &server)
{
    const auto found = m_lastServerStates.find({pool, server.name});
    const bool isChanged = found == m_lastServerStates.end() || found->second != server.state;
    if (!isChanged || m_writtenLines >= serverLineLimit)
        return;
    write(logging::LogLine("server-state")
                  .text("server", server.name)
                  .text("pool", pool)
                  .text("state", policy::toName(server.state))
                  .text("before",
                        found == m_lastServerStates.end() ? "" : policy::toName(found->second))
                  .number("inFlight", server.inFlight)
                  .number("limit", server.limit));
    m_lastServerStates[{pool, server.name}] = server.state;
}

void PoolLog::write(const logging::LogLine &line)
{
    ++m_writtenLines;
    m_log.write(line);
}

} // namespace sardinehollow::daemon
