#include "sardinehollow_policy/facade/SteeringPolicy.h"

#include "sardinehollow_config/json/ConfigurationReader.h"
#include "support/ExampleConfiguration.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;

namespace {

/** The example with a second site, a block that uses it, and a shift from east to west. */
config::Configuration makeConfiguration(std::uint64_t generation, const char *westBlock)
{
    config::Configuration configuration = *config::readConfiguration(tests::exampleConfiguration);
    configuration.generation = generation;
    configuration.sites.push_back({"west", {"west-a", "east-a"}});
    configuration.clientBlocks.push_back({*core::IpPrefix::parse(westBlock), 1});
    configuration.shifts.push_back(
            {"move", "east", {}, 1.0, 1.0, std::chrono::seconds(0), {{"west-a", 10}}});
    return configuration;
}

std::string firstDomain(const policy::SteeringPolicy &policy, const char *caller)
{
    const auto answer = policy.lookUp("look", *core::IpAddress::parse(caller));
    return answer.entries.empty() ? "" : answer.entries[0].failureDomain;
}

} // namespace

TEST_CASE("Look-ups use the current client blocks, peers and shift fractions")
{
    policy::SteeringPolicy policy;
    REQUIRE(firstDomain(policy, "10.1.2.3").empty());
    policy.applyConfiguration(
            std::make_shared<const config::Configuration>(makeConfiguration(1, "10.1.2.0/24")));
    REQUIRE(firstDomain(policy, "10.1.2.3").empty());
    auto view = std::make_shared<policy::PeerView>();
    view->peers.push_back({"vm1", 1, "east", "east-a", "127.0.0.1:1", "", false, 0.0, ""});
    view->peers.push_back({"vm2", 1, "west", "west-a", "127.0.0.1:2", "", false, 0.0, ""});
    policy.onPeers(view);
    REQUIRE(firstDomain(policy, "10.1.2.3") == "west-a");
    REQUIRE(firstDomain(policy, "10.9.9.9") == "east-a");
    policy.applyConfiguration(
            std::make_shared<const config::Configuration>(makeConfiguration(2, "10.9.9.0/24")));
    REQUIRE(firstDomain(policy, "10.1.2.3") == "east-a");
    REQUIRE(firstDomain(policy, "10.9.9.9") == "west-a");
    policy.setShiftFractions({{"move", 1.0}});
    REQUIRE(firstDomain(policy, "10.1.2.3") == "west-a");
    policy.setShiftFractions({});
    REQUIRE(firstDomain(policy, "10.1.2.3") == "east-a");
}
