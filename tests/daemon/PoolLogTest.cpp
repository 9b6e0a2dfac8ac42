#include "sardinehollow_daemon/status/PoolLog.h"

#include <catch2/catch.hpp>
#include <spdlog/sinks/ostream_sink.h>

#include <algorithm>
#include <sstream>

using namespace sardinehollow;

namespace {

struct PoolLogWorld
{
    std::size_t lines() const
    {
        const std::string written = text.str();
        return static_cast<std::size_t>(std::count(written.begin(), written.end(), '\n'));
    }

    std::ostringstream text;
    logging::EventLog log {std::make_shared<spdlog::sinks::ostream_sink_mt>(text)};
    daemon::PoolLog poolLog {log};
    policy::PoolStatus pool;
};

} // namespace

TEST_CASE("Only changes of servers and of a pool's load are logged")
{
    PoolLogWorld world;
    world.pool.pool = "main";
    world.pool.admitting = true;
    world.pool.servers = {{"a", policy::ServerState::Serving, 1, 4},
                          {"b", policy::ServerState::NotOwned, 0, 4}};
    world.poolLog.look({world.pool});
    CHECK(world.lines() == 3);
    CHECK(world.text.str().find(R"("inFlight":1,"queued":0,"limit":4)") != std::string::npos);
    world.poolLog.look({world.pool});
    CHECK(world.lines() == 3);
    world.pool.servers[0].state = policy::ServerState::Avoided;
    world.poolLog.look({world.pool});
    // The server's line, and the pool's: its room has changed.
    CHECK(world.lines() == 5);
    CHECK(world.text.str().find(
                  R"("server":"a","pool":"main","state":"avoided","before":"serving")")
          != std::string::npos);
}

TEST_CASE("Many servers that change at once are logged over several looks")
{
    // Guards against a flood of lines when a failure domain goes.
    PoolLogWorld world;
    world.pool.pool = "main";
    for (int index = 0; index < 250; ++index)
        world.pool.servers.push_back(
                {"s" + std::to_string(index), policy::ServerState::Serving, 0, 4});
    world.poolLog.look({world.pool});
    CHECK(world.lines() == 101);
    world.poolLog.look({world.pool});
    world.poolLog.look({world.pool});
    CHECK(world.lines() == 251);
}
