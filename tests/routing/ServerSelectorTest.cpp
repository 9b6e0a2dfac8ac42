#include "routing/RoutingWorld.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace sardinehollow;
using routing::SelectionReason;
using tests::RoutingWorld;

namespace {

constexpr std::uint64_t object = 4711;

std::string serverOf(const routing::Selection &selection)
{
    return selection.server ? selection.server->server().id : "none";
}

// Simulates requests for many objects, one every 10 ms; returns how many spilled over.
int countSpilled(RoutingWorld &world, routing::BackendState &near, bool isNearFull, int requests)
{
    int spilled = 0;
    for (int index = 0; index < requests; ++index) {
        world.now += std::chrono::milliseconds(10);
        near.onLoadReport(isNearFull ? 24 : 0, 0, 6, world.now);
        const auto key = static_cast<std::uint64_t>(index) * 7919;
        spilled += world.choose(key).reason == SelectionReason::FarHome ? 1 : 0;
    }
    return spilled;
}

} // namespace

TEST_CASE("An object keeps its server when another server is removed")
{
    // Guards against cold caches: a server runs requests for objects that it has cached faster.
    RoutingWorld world;
    for (const char *id : {"a", "b", "c"})
        world.add(id, "east-a");
    std::map<std::uint64_t, std::string> homes;
    for (std::uint64_t key = 0; key < 60; ++key)
        homes[key] = serverOf(world.choose(key));
    world.registry.remove("b");
    for (const auto &[key, home] : homes) {
        if (home == "b")
            CHECK(serverOf(world.choose(key)) != "b");
        else
            CHECK(serverOf(world.choose(key)) == home);
    }
}

TEST_CASE("Servers that must not get new requests are not selected")
{
    RoutingWorld world;
    world.add("only", "east-a");
    SECTION("a draining server")
    {
        routing::BackendServer server = RoutingWorld::server("only", "east-a");
        server.isDraining = true;
        world.registry.put(server, world.now);
        CHECK(world.choose(object).reason == SelectionReason::NoServer);
    }
    SECTION("a server of an evacuated failure domain")
    {
        world.registry.setEvacuated({"east-a"});
        CHECK(world.choose(object).reason == SelectionReason::NoServer);
    }
    SECTION("a server outside the home regions of the route")
    {
        world.route.homeRegions = {"west"};
        CHECK(world.choose(object).reason == SelectionReason::NoServer);
    }
    SECTION("a server that was tried already")
    {
        CHECK(world.choose(object, {"only"}).reason == SelectionReason::NoServer);
    }
    SECTION("a cold server beyond this daemon's share")
    {
        routing::BackendState &server = *world.registry.all().at("only");
        server.setCold(std::chrono::seconds(3), world.now);
        server.coldPermits().setLimits(1, 1);
        REQUIRE(serverOf(world.choose(object)) == "only");
        server.coldPermits().take(world.now);
        CHECK(world.choose(object).server == nullptr);
    }
}

TEST_CASE("A request goes to another region only when its own has no capacity")
{
    RoutingWorld world;
    routing::BackendState &near = world.add("near", "east-b");
    world.add("far", "west-a");
    CHECK(world.choose(object).reason == SelectionReason::NearHome);
    world.fill(near);
    CHECK(world.choose(object).reason == SelectionReason::FarHome);
    world.fill(*world.registry.all().at("far"));
    CHECK(world.choose(object).reason == SelectionReason::Overloaded);
}

TEST_CASE("Large responses stay in the failure domain if it has at least two servers")
{
    RoutingWorld world;
    world.route.hasLargeResponses = true;
    world.add("own-1", "east-a");
    world.add("neighbour-1", "east-b");
    world.add("neighbour-2", "east-b");
    std::map<std::string, int> sent;
    SECTION("Two servers share them")
    {
        // Guards against half of the downloads crossing failure domains, which costs more than
        // running the request on a server that has not cached the object.
        world.add("own-2", "east-a");
        for (std::uint64_t key = 0; key < 60; ++key)
            ++sent[serverOf(world.choose(key))];
        CHECK(sent["own-1"] + sent["own-2"] == 60);
        world.registry.remove("own-1");
        world.registry.remove("own-2");
        CHECK(serverOf(world.choose(object)).rfind("neighbour", 0) == 0);
    }
    SECTION("One server alone shares them with the region")
    {
        // Guards against a server that gets more objects than its cache holds, so that no request
        // benefits from the cache.
        for (std::uint64_t key = 0; key < 60; ++key)
            ++sent[serverOf(world.choose(key))];
        CHECK(sent["own-1"] > 0);
        CHECK(sent["own-1"] < 40);
    }
}

TEST_CASE("A cold server takes its objects once it is warm")
{
    // Guards against slow responses for every object that a new or restarted server takes over.
    RoutingWorld world;
    routing::BackendState &warm = world.add("warm", "east-a");
    routing::BackendState &cold = world.add("cold", "east-a");
    cold.setCold(std::chrono::seconds(3), world.now);
    cold.coldPermits().setLimits(10, 10);
    for (std::uint64_t key = 0; key < 40; ++key)
        CHECK(serverOf(world.choose(key)) == "warm");
    // A slow response is better than a shed request.
    world.fill(warm);
    CHECK(serverOf(world.choose(object)) == "cold");
    world.now += std::chrono::seconds(3);
    warm.onLoadReport(0, 0, 6, world.now);
    std::set<std::string> used;
    for (std::uint64_t key = 0; key < 40; ++key)
        used.insert(serverOf(world.choose(key)));
    CHECK(used.size() == 2);
}

TEST_CASE("Another region is preferred to a cold server, unless no more requests may spill")
{
    RoutingWorld world;
    routing::BackendState &warm = world.add("warm", "east-a");
    routing::BackendState &cold = world.add("cold", "east-a");
    world.add("far", "west-a");
    cold.setCold(std::chrono::seconds(60), world.now);
    cold.coldPermits().setLimits(10, 10);
    world.fill(warm);
    CHECK(serverOf(world.choose(object)) == "far");
    world.now += std::chrono::seconds(4);
    countSpilled(world, warm, false, 400);
    int coldRuns = 0;
    for (int index = 0; index < 100; ++index) {
        world.fill(warm);
        coldRuns += serverOf(world.choose(object)) == "cold" ? 1 : 0;
    }
    CHECK(coldRuns > 50);
}

TEST_CASE("A server that failed twice is avoided, unless all servers failed")
{
    RoutingWorld world;
    world.add("first", "east-a");
    world.add("second", "east-a");
    const std::string home = serverOf(world.choose(object));
    routing::BackendState &server = *world.registry.all().at(home);
    server.onFailure(world.now);
    CHECK(serverOf(world.choose(object)) == home);
    server.onFailure(world.now);
    CHECK(serverOf(world.choose(object)) != home);
    for (const auto &[id, other] : world.registry.all()) {
        other->onFailure(world.now);
        other->onFailure(world.now);
    }
    CHECK(serverOf(world.choose(object)) == home);
}

TEST_CASE("The share of spilled requests changes slowly under a burst")
{
    // Guards against 25 to 48 % of the requests changing their region within 2 s.
    RoutingWorld world;
    routing::BackendState &near = world.add("near", "east-a");
    world.add("far", "west-a");
    CHECK(countSpilled(world, near, false, 400) == 0);
    // 2 s of a burst that leaves no capacity in the near region.
    CHECK(countSpilled(world, near, true, 200) <= 30);
    CHECK(countSpilled(world, near, true, 200) <= 60);
}

TEST_CASE("Objects return to their region once it has capacity again")
{
    // Guards against a level that stays at its maximum because no request remains to sample the
    // region's capacity.
    RoutingWorld world;
    routing::BackendState &near = world.add("near", "east-a");
    world.add("far", "west-a");
    countSpilled(world, near, true, 3000);
    countSpilled(world, near, false, 4000);
    CHECK(countSpilled(world, near, false, 400) == 0);
}

TEST_CASE("A server whose address has been taken by another one is avoided at once")
{
    // Guards against hundreds of requests sent to a dead server's address until its entry expired.
    RoutingWorld world;
    world.add("first", "east-a");
    world.add("second", "east-a");
    const std::string home = serverOf(world.choose(object));
    world.registry.all().at(home)->onReplaced(world.now);
    CHECK(serverOf(world.choose(object)) != home);
    world.now += std::chrono::seconds(5);
    CHECK(serverOf(world.choose(object)) != home);
}

// Guards against DRAIN: an entry in the store that says less than the server's responses put a
// leaving server back into the selection.
TEST_CASE("An announced departure holds until the server's entry withdraws it or it starts again")
{
    struct Step
    {
        const char *name;
        /** State of the entry that is written; removed and written again if isRewritten. */
        bool isDraining;
        bool isRewritten;
        std::int64_t startedAt;
        bool isSelected;
    };
    struct Row
    {
        const char *name;
        std::vector<Step> steps;
    };
    const Row row = GENERATE(values<Row>({
            {"late entry", {{"still ready", false, false, 7, false}}},
            {"entry lapses", {{"written again", false, true, 7, false}}},
            {"withdrawn", {{"draining", true, false, 7, false}, {"ready", false, false, 7, true}}},
            {"restart", {{"new start", false, false, 8, true}}},
            {"restart after removal", {{"new start", false, true, 8, true}}},
            {"lapses twice",
             {{"written again", false, true, 7, false}, {"again", false, true, 7, false}}},
    }));
    INFO(row.name);
    RoutingWorld world;
    routing::BackendServer server = RoutingWorld::server("one", "east-a");
    server.startedAt = 7;
    world.registry.put(server, world.now);
    REQUIRE(world.choose(1).server);
    world.registry.all().at("one")->onLeaveAnnounced();
    CHECK_FALSE(world.choose(1).server);
    for (const Step &step : row.steps) {
        INFO(step.name);
        if (step.isRewritten)
            world.registry.remove("one");
        server.isDraining = step.isDraining;
        server.startedAt = step.startedAt;
        world.registry.put(server, world.now);
        CHECK((world.choose(1).server != nullptr) == step.isSelected);
    }
}

// Guards against DRAIN, BUDGET and LIMIT: what a server had stated in a response, also in one that
// ended after its entry had lapsed, was forgotten when the entry returned.
TEST_CASE("What a server's responses stated holds when its entry lapses and returns")
{
    using State = routing::BackendState;
    const auto leave = [](State &server, core::Instant) { server.onLeaveAnnounced(); };
    const auto pause = [](State &server, core::Instant now) {
        server.onRetryAfter(std::chrono::seconds(5), now);
    };
    const auto limit = [](State &server, core::Instant now) {
        server.rateLimit().set(1);
        server.rateLimit().take(now);
    };
    struct Row
    {
        const char *name;
        std::function<void(State &, core::Instant)> state;
        std::int64_t startedAt;
        bool isSelected;
    };
    const Row row = GENERATE_COPY(values<Row>({{"departure, same start", leave, 7, false},
                                               {"departure, new start", leave, 8, true},
                                               {"pause, same start", pause, 7, false},
                                               {"pause, new start", pause, 8, true},
                                               {"limit, same start", limit, 7, false},
                                               {"limit, new start", limit, 8, true}}));
    const bool isLapsedBefore = GENERATE(false, true);
    INFO(row.name << (isLapsedBefore ? ", stated after the lapse" : ""));
    RoutingWorld world;
    routing::BackendServer server = RoutingWorld::server("one", "east-a");
    server.startedAt = 7;
    world.registry.put(server, world.now);
    const routing::BackendStatePtr running = world.choose(1).server;
    REQUIRE(running);
    if (!isLapsedBefore)
        row.state(*running, world.now);
    world.registry.remove("one");
    if (isLapsedBefore)
        row.state(*running, world.now);
    server.startedAt = row.startedAt;
    world.registry.put(server, world.now);
    CHECK((world.choose(1).server != nullptr) == row.isSelected);
}

// Guards against refusals that leave callers without the time to come back, and against waiting for
// a permit, while servers have asked for pauses and lower rates.
TEST_CASE("A request that no server takes yet is refused at once with the time of the first that "
          "does")
{
    RoutingWorld world;
    routing::BackendState &limited = world.add("limited", "east-a");
    limited.rateLimit().set(0.5);
    limited.rateLimit().take(world.now);
    world.add("paused", "west-a").onRetryAfter(std::chrono::seconds(5), world.now);
    const routing::Selection refused = world.choose(object);
    CHECK(refused.reason == SelectionReason::NoPermit);
    CHECK(refused.retryAfter == std::chrono::seconds(2));
    world.now += std::chrono::seconds(2);
    CHECK(serverOf(world.choose(object)) == "limited");
    limited.rateLimit().take(world.now);
    world.now += std::chrono::milliseconds(1900);
    CHECK_FALSE(world.choose(object).server);
    world.add("free", "west-b");
    CHECK(serverOf(world.choose(object)) == "free");
}
