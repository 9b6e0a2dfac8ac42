#include "sardinehollow_daemon/status/PoolLog.h"

namespace sardinehollow::daemon {

namespace {

// A failure domain that goes or comes changes hundreds of servers at once; the rest of them are
// written at the next looks.
constexpr std::size_t mostLines = 100;

} // namespace

PoolLog::PoolLog(logging::EventLog &log)
    : m_log(log)
{ }

void PoolLog::look(const std::vector<policy::PoolStatus> &pools)
{
    m_lines = 0;
    for (const policy::PoolStatus &pool : pools) {
        for (const policy::PoolStatus::Server &server : pool.servers)
            lookAtServer(pool.pool, server);
        const Load load = loadOf(pool);
        if (m_loads[pool.pool] == load)
            continue;
        m_loads[pool.pool] = load;
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
        // Slots that another daemon owns, or that take no work, are no room here.
        load.limit += server.state == policy::ServerState::Serving ? server.limit : 0;
    }
    return load;
}

void PoolLog::lookAtServer(const std::string &pool, const policy::PoolStatus::Server &server)
{
    const auto found = m_servers.find({pool, server.name});
    const bool isChanged = found == m_servers.end() || found->second != server.state;
    if (!isChanged || m_lines >= mostLines)
        return;
    write(logging::LogLine("server-state")
                  .text("server", server.name)
                  .text("pool", pool)
                  .text("state", policy::toName(server.state))
                  .text("before", found == m_servers.end() ? "" : policy::toName(found->second))
                  .number("inFlight", server.inFlight)
                  .number("limit", server.limit));
    m_servers[{pool, server.name}] = server.state;
}

void PoolLog::write(const logging::LogLine &line)
{
    ++m_lines;
    m_log.state(line);
}

} // namespace sardinehollow::daemon
