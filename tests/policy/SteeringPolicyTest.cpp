#include "sardinehollow_policy/facade/SteeringPolicy.h"

#include "sardinehollow_config/json/ConfigurationReader.h"
#include "support/ExampleConfiguration.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

policy::RequestOffer makeOffer(std::uint64_t sequence, const std::string &kind)
{
    policy::RequestOffer offer;
    offer.id = {1, sequence};
    offer.workKind = kind;
    offer.deadline = 1s;
    return offer;
}

policy::PolicySettings withoutHoldOff()
{
    policy::PolicySettings settings;
    settings.ownershipHoldOff = 0s;
    return settings;
}

void prepare(policy::SteeringPolicy &policy)
{
    auto configuration = config::readConfiguration(tests::exampleConfiguration);
    REQUIRE(configuration);
    configuration->generation = 1;
    policy.applyConfiguration(std::make_shared<const config::Configuration>(*configuration));
    auto view = std::make_shared<policy::PeerView>();
    view->peers.push_back(
            {"vm1", 1, "east", "east-a", "127.0.0.1:1", "127.0.0.1:2", false, 0.0, ""});
    policy.onPeers(view);
}

} // namespace

TEST_CASE("A backend server gets at most one request per slot and queued requests follow")
{
    policy::SteeringPolicy policy(withoutHoldOff());
    prepare(policy);
    REQUIRE(policy.offer(makeOffer(1, "look")).kind == policy::DecisionKind::Dispatch);
    REQUIRE(policy.offer(makeOffer(2, "look")).kind == policy::DecisionKind::Dispatch);
    REQUIRE(policy.offer(makeOffer(3, "look")).kind == policy::DecisionKind::Hold);
    policy::AttemptReport report;
    report.id = {1, 1};
    const auto decisions = policy.complete(report);
    REQUIRE(decisions.size() == 2);
    REQUIRE(decisions[0].kind == policy::DecisionKind::Finish);
    REQUIRE(decisions[1].id == core::RequestId {1, 3});
    REQUIRE(decisions[1].kind == policy::DecisionKind::Dispatch);
}

TEST_CASE("A configuration that is not newer than the current one is not applied")
{
    policy::SteeringPolicy policy;
    prepare(policy);
    auto older = std::make_shared<config::Configuration>(*policy.configuration());
    REQUIRE_FALSE(policy.applyConfiguration(older));
    older->generation = 0;
    REQUIRE_FALSE(policy.applyConfiguration(older));
    REQUIRE(policy.configuration()->generation == 1);
}
