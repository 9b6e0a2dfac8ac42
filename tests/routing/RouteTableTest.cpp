#include "sardinehollow_routing/configuration/RouteTable.h"
#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_routing/state/RoutingState.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using routing::Route;
using routing::RouteTable;
using routing::RoutingConfiguration;

namespace {

Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.services = {{"service", 1.0}};
    return route;
}

RoutingConfiguration makeConfiguration(std::uint64_t version)
{
    RoutingConfiguration configuration;
    configuration.version = version;
    configuration.routes
            = {makeRoute("short", "one.example", "/a/"), makeRoute("long", "one.example", "/a/b/"),
               makeRoute("other", "two.example", "/a/")};
    return configuration;
}

} // namespace

TEST_CASE("A request uses the route of its host with the longest matching prefix")
{
    struct Row
    {
        const char *host;
        const char *path;
        const char *route;
    };
    const Row row = GENERATE(values<Row>({
            {"one.example", "/a/", "short"},
            {"one.example", "/a/x/y", "short"},
            {"one.example", "/a/b/c", "long"},
            {"one.example", "/a/bc", "short"},
            {"one.example", "/a/b", "short"},
            {"ONE.example:8080", "/a/b/c?d=/e/", "long"},
            {"two.example", "/a/b/c", "other"},
            {"one.example", "/b/", "none"},
            {"one.example", "/a", "none"},
            {"three.example", "/a/", "none"},
    }));
    INFO(row.host << row.path);
    const RouteTable table(makeConfiguration(1));
    const Route *route = table.find(row.host, row.path);
    CHECK((route ? route->name : "none") == row.route);
}

TEST_CASE("An older configuration never replaces a newer one")
{
    core::SeededRandom random(1);
    routing::RoutingState state({}, random);
    CHECK(state.adopt(makeConfiguration(5)));
    CHECK_FALSE(state.adopt(makeConfiguration(4)));
    CHECK_FALSE(state.adopt(makeConfiguration(5)));
    CHECK(state.table()->configuration().version == 5);
    CHECK(state.adopt(makeConfiguration(9)));
}

TEST_CASE("A route with several services splits requests by weight")
{
    core::SeededRandom random(1);
    routing::RoutingState state({}, random);
    Route route = makeRoute("split", "one.example", "/");
    route.services = {{"big", 90.0}, {"small", 10.0}};
    int small = 0;
    for (int index = 0; index < 10'000; ++index)
        small += state.assignService(route) == "small" ? 1 : 0;
    CHECK(small > 900);
    CHECK(small < 1100);
}
