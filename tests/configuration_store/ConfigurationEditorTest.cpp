#include "sardinehollow_configuration_store/edit/ConfigurationEditor.h"

#include "sardinehollow_config/json/ConfigurationReader.h"
#include "support/ExampleConfiguration.h"
#include "support/FakeStore.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;

namespace {

struct Fixture
{
    Fixture()
    {
        configuration_store::Submission submission;
        submission.configuration = *config::readConfiguration(tests::exampleConfiguration);
        submission.submissionId = "first";
        REQUIRE(configurations.submit(submission));
    }

    tests::FakeStore store;
    configuration_store::ConfigurationStore configurations {store, "test",
                                                            platform::CallPurpose::Operator};
    configuration_store::ConfigurationEditor editor {configurations, "operator", "drain"};
};

core::Result<bool> drainWest(config::Configuration &configuration)
{
    configuration.drains.push_back({config::DrainTarget::Region, "west"});
    return true;
}

} // namespace

TEST_CASE("An edit is repeated if another operator's change is accepted in between")
{
    Fixture fixture;
    int races = GENERATE(0, 1, 3);
    const auto raced = [&](config::Configuration &configuration) {
        if (races > 0) {
            --races;
            configuration_store::Submission other;
            other.configuration = configuration;
            other.configuration.workKinds[0].queueLimit += 1;
            other.submissionId = "race" + std::to_string(races);
            REQUIRE(fixture.configurations.submit(other));
        }
        return drainWest(configuration);
    };
    const auto head = fixture.editor.apply(raced);
    REQUIRE(head);
    const auto inForce = fixture.configurations.load(*head);
    REQUIRE(inForce->isDrained(config::DrainTarget::Region, "west"));
    // The other operators' changes are kept.
    REQUIRE(inForce->workKinds[0].queueLimit == 4 + head->generation - 2);
}

TEST_CASE("An edit that would make the configuration invalid is refused")
{
    Fixture fixture;
    const auto refused = fixture.editor.apply([](config::Configuration &configuration) {
        configuration.drains.push_back({config::DrainTarget::Region, "nowhere"});
        return core::Result<bool>(true);
    });
    REQUIRE_FALSE(refused);
    REQUIRE(refused.error().kind == core::ErrorKind::InvalidInput);
    REQUIRE(fixture.configurations.readHead()->head.generation == 1);
}

TEST_CASE("A store outage is reported as such and changes nothing")
{
    Fixture fixture;
    fixture.store.outage = true;
    const auto failed = fixture.editor.apply(drainWest);
    REQUIRE_FALSE(failed);
    REQUIRE(failed.error().kind == core::ErrorKind::Unreachable);
}
