#include "sardinehollow_gateway/application/ServerTracker.h"
#include "platform/PlatformProtocol.h"
#include "platform/PlatformSchema.h"
#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_core/time/ManualClock.h"

#include <catch2/catch.hpp>
#include <spdlog/sinks/null_sink.h>

using namespace sardinehollow;
using namespace std::chrono_literals;
using platform::KeyValue;

namespace {

struct TrackerWorld
{
    TrackerWorld()
        : loop(clock)
        , routing({}, random)
        , pool(loop, protocol)
        , log(std::make_shared<spdlog::sinks::null_sink_mt>())
        , services {loop, protocol, routing, pool, metrics, log}
        , tracker(services, schema, 0ms)
    { }

    static KeyValue entry(const std::string &id, const std::string &state = "ready")
    {
        return {"servers/" + id,
                R"({"address":"127.0.0.1:1","info":{"service":"s","version":"v1",)"
                R"("zone":"east-a","slots":6},"status":{"state":")"
                        + state + R"(","seq":1,"coldLeftS":0}})"};
    }

    static KeyValue removal(const std::string &id)
    {
        KeyValue keyValue;
        keyValue.key = "servers/" + id;
        keyValue.isDeleted = true;
        return keyValue;
    }

    bool knows(const std::string &id) { return routing.backends().contains(id); }

    core::ManualClock clock;
    core::SeededRandom random {1};
    network::EventLoop loop;
    const adapter::PlatformProtocol protocol;
    const adapter::PlatformSchema schema;
    routing::RoutingState routing;
    gateway::BackendPool pool;
    gateway::GatewayMetrics metrics;
    logging::EventLog log;
    gateway::GatewayServices services;
    gateway::ServerTracker tracker;
};

} // namespace

TEST_CASE("Entries that lapsed and were written again within one report stay")
{
    // Guards against losing all servers for the rest of the day: the removals of a report were
    // applied after its writes.
    TrackerWorld world;
    world.tracker.onSnapshot(
            {TrackerWorld::entry("a"), TrackerWorld::entry("b"), TrackerWorld::entry("c")});
    world.tracker.onStoreRegained();
    world.tracker.onChanged({TrackerWorld::removal("a"), TrackerWorld::removal("b"),
                             TrackerWorld::removal("c"), TrackerWorld::entry("a"),
                             TrackerWorld::entry("b")});
    CHECK(world.knows("a"));
    CHECK(world.knows("b"));
    // No time to come back is given here.
    CHECK_FALSE(world.knows("c"));
}

TEST_CASE("The last change of an entry within one report counts")
{
    TrackerWorld world;
    world.tracker.onSnapshot({TrackerWorld::entry("a"), TrackerWorld::entry("b")});
    world.tracker.onChanged({TrackerWorld::entry("a", "draining"), TrackerWorld::removal("a"),
                             TrackerWorld::entry("b", "draining")});
    CHECK_FALSE(world.knows("a"));
    CHECK(world.routing.backends().all().at("b")->server().isDraining);
    world.tracker.onSnapshot({});
    CHECK_FALSE(world.knows("b"));
}

TEST_CASE("A server whose entry came and went within one report is not taken up")
{
    // Guards against requests to a server that has left: only removals of entries that were known
    // before the report counted, so the server stayed for good.
    TrackerWorld world;
    world.tracker.onSnapshot({TrackerWorld::entry("a")});
    world.tracker.onChanged({TrackerWorld::entry("b"), TrackerWorld::removal("b")});
    CHECK(world.knows("a"));
    CHECK_FALSE(world.knows("b"));
    world.tracker.onChanged(
            {TrackerWorld::removal("a"), TrackerWorld::entry("a"), TrackerWorld::removal("a")});
    CHECK_FALSE(world.knows("a"));
}
