#include "routing/RoutingWorld.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;
using tests::RoutingWorld;

namespace {

routing::BackendState makeServer()
{
    return {RoutingWorld::server("one", "east-a"), "east"};
}

} // namespace

TEST_CASE("A full server does not look free as soon as its report is old")
{
    // Guards against all daemons of a region sending at once to a server from which none of them
    // had heard for a while: its queue was full again at 24 of 24.
    routing::BackendState server = makeServer();
    server.setSenders(4);
    core::Instant now = 10s;
    server.onLoadReport(6, 18, 6, now);
    CHECK(server.load(now) == Approx(24));
    // In 600 ms the server finishes about 24 requests, of which a quarter is this daemon's part.
    now += 600ms;
    CHECK(server.load(now) > 15);
    now += 3s;
    CHECK(server.load(now) == Approx(0));
}

TEST_CASE("Own requests count until they end, whatever the server reports")
{
    routing::BackendState server = makeServer();
    const core::Instant now = 10s;
    for (int index = 0; index < 3; ++index)
        server.onSent(now);
    server.onLoadReport(0, 0, 6, now);
    CHECK(server.load(now) == Approx(3));
    server.onEnded();
    CHECK(server.load(now + 5s) == Approx(2));
}

TEST_CASE("The expected latency grows with the load and holds the way to the server")
{
    routing::BackendState server = makeServer();
    const core::Instant now = 10s;
    server.onConnected(70ms);
    for (int index = 0; index < 200; ++index)
        server.onResponse(170ms, 1);
    CHECK(server.expectedLatency(now) > 165ms);
    CHECK(server.expectedLatency(now) < 175ms);
    server.onLoadReport(6, 5, 6, now);
    CHECK(server.expectedLatency(now) > 265ms);
}

TEST_CASE(
        "A server that cannot be reached is passed over at once and tried by one request at a time")
{
    // Guards against each daemon's requests waiting for a dead server at the same time, first until
    // two had failed and then again whenever the time of passing it over was up.
    routing::BackendState server = makeServer();
    core::Instant now = 10s;
    server.onUnreachable(now);
    CHECK(server.isAvoided(now));
    now += 5s;
    CHECK_FALSE(server.isAvoided(now));
    server.onSent(now);
    CHECK(server.isAvoided(now));
    server.onEnded();
    server.onSuccess();
    server.onSent(now);
    CHECK_FALSE(server.isAvoided(now));
}

TEST_CASE("A server that starts again under its id starts without a past")
{
    RoutingWorld world;
    routing::BackendServer server = RoutingWorld::server("same", "east-a");
    server.startedAt = 1000;
    world.registry.put(server, world.now);
    const routing::BackendStatePtr first = world.registry.all().at("same");
    first->onFailure(world.now);
    first->onFailure(world.now);
    server.startedAt = 2000;
    world.registry.put(server, world.now);
    CHECK(first->isGone());
    CHECK_FALSE(world.registry.all().at("same")->isAvoided(world.now));
    CHECK(world.registry.servers("look-ups").size() == 1);
}
