#include "sardinehollow_config/diff/ConfigurationDiff.h"

#include "sardinehollow_config/json/ConfigurationReader.h"
#include "support/ExampleConfiguration.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;

namespace {

config::Configuration example()
{
    return *config::readConfiguration(tests::exampleConfiguration);
}

} // namespace

TEST_CASE("A diff reports changed elements but not moved ones")
{
    const config::Configuration before = example();
    config::Configuration after = before;
    REQUIRE(config::compareConfigurations(before, after).empty());

    // A pool that is inserted at the front must not be reported as a change of the others.
    after.pools.insert(after.pools.begin(), {"extra", 10, {{"b3", "127.0.0.1:9003", "east-a", 1}}});
    after.workKinds[0].queueLimit = 9;
    after.drains.push_back({config::DrainTarget::Region, "west"});
    after.clientBlocks.pop_back();
    std::vector<std::string> paths;
    for (const config::Change &change : config::compareConfigurations(before, after))
        paths.push_back(change.path);
    REQUIRE_THAT(paths, Catch::VectorContains(std::string("/workKinds/look/queueLimit")));
    REQUIRE_THAT(paths, Catch::VectorContains(std::string("/pools/extra/connectionLimit")));
    REQUIRE_THAT(paths, Catch::VectorContains(std::string("/drains/region:west/name")));
    REQUIRE_THAT(paths, Catch::VectorContains(std::string("/clientBlocks/10.0.0.0/8/site")));
    for (const std::string &path : paths)
        REQUIRE(path.find("/pools/main") == std::string::npos);
}

TEST_CASE("A changed order of ranks is reported, since it is the order of service")
{
    const config::Configuration before = example();
    config::Configuration after = before;
    std::swap(after.ranks[0], after.ranks[1]);
    const auto changes = config::compareConfigurations(before, after);
    REQUIRE(changes.size() == 1);
    REQUIRE(changes[0].path == "/ranks");
}
