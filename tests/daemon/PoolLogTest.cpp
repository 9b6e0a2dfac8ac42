#include "sardinehollow_daemon/status/PoolLog.h"

#include <catch2/catch.hpp>
#include <spdlog/sinks/ostream_sink.h>

#include <algorithm>
#include <sstream>

using namespace sardinehollow;

namespace {

struct PoolLogFixture
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
    PoolLogFixture fixture;
    fixture.pool.pool = "main";
    fixture.pool.admitting = true;
    fixture.pool.servers = {{"a", policy::ServerState::Serving, 1, 4},
                            {"b", policy::ServerState::NotOwned, 0, 4}};
    fixture.poolLog.update({fixture.pool});
    CHECK(fixture.lines() == 3);
    CHECK(fixture.text.str().find(R"("inFlight":1,"queued":0,"limit":4)") != std::string::npos);
    fixture.poolLog.update({fixture.pool});
    CHECK(fixture.lines() == 3);
    fixture.pool.servers[0].state = policy::ServerState::Avoided;
    fixture.poolLog.update({fixture.pool});
    // One line for the server and one for the pool, whose limit has changed.
    CHECK(fixture.lines() == 5);
    CHECK(fixture.text.str().find(
                  R"("server":"a","pool":"main","state":"avoided","before":"serving")")
          != std::string::npos);
}

TEST_CASE("Many servers that change at once are logged over several updates")
{
    // Guards against a burst of log lines when a failure domain fails.
    PoolLogFixture fixture;
    fixture.pool.pool = "main";
    for (int index = 0; index < 250; ++index)
        fixture.pool.servers.push_back(
                {"s" + std::to_string(index), policy::ServerState::Serving, 0, 4});
    fixture.poolLog.update({fixture.pool});
    CHECK(fixture.lines() == 101);
    fixture.poolLog.update({fixture.pool});
    fixture.poolLog.update({fixture.pool});
    CHECK(fixture.lines() == 251);
}
