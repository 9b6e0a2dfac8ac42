#include "sardinehollow_configuration_store/store/ConfigurationStore.h"

#include "sardinehollow_config/json/ConfigurationReader.h"
#include "support/ExampleConfiguration.h"
#include "support/FakeStore.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;

namespace {

constexpr std::uint32_t retainedGenerations = 200;

struct Fixture
{
    configuration_store::ConfigurationHead submit(std::uint32_t queueLimit)
    {
        configuration_store::Submission submission;
        submission.configuration = *config::readConfiguration(tests::exampleConfiguration);
        submission.configuration.workKinds[0].queueLimit = queueLimit;
        submission.submissionId = std::to_string(++count);
        return configurations.submit(submission).value();
    }

    std::size_t countKeys(const std::string &part) const
    {
        std::size_t found = 0;
        for (const auto &[key, value] : store.values)
            found += key.find(part) != std::string::npos ? 1U : 0U;
        return found;
    }

    int count = 0;
    tests::FakeStore store;
    configuration_store::ConfigurationStore configurations {store, "test",
                                                            platform::CallPurpose::Operator};
};

} // namespace

TEST_CASE("The store keeps a bounded number of generations and parts")
{
    Fixture fixture;
    for (std::uint32_t change = 1; change <= 2 * retainedGenerations; ++change)
        fixture.submit(change);
    REQUIRE(fixture.countKeys("/history/") == retainedGenerations);
    // One base part and one manifest for each kept generation, and the shared client blocks.
    REQUIRE(fixture.countKeys("/parts/") <= 2 * retainedGenerations + 2);
    REQUIRE(fixture.configurations.load(fixture.configurations.readHead()->head));
}

TEST_CASE("A part that is in use again is not deleted with the generation that dropped it")
{
    Fixture fixture;
    const std::uint32_t reusedAt = GENERATE(2U, 100U, 200U, 201U);
    CAPTURE(reusedAt);
    fixture.submit(1);
    for (std::uint32_t change = 2; change < reusedAt; ++change)
        fixture.submit(change);
    // The same content as the first generation.
    fixture.submit(1);
    for (std::uint32_t change = 0; change < retainedGenerations - 1; ++change)
        fixture.submit(1000 + change);
    fixture.submit(1);
    for (std::uint32_t change = 0; change < 3; ++change) {
        const auto loaded = fixture.configurations.load(fixture.configurations.readHead()->head);
        REQUIRE(loaded);
        fixture.submit(1);
    }
}

TEST_CASE("Generations that could not be pruned are pruned by later submissions")
{
    Fixture fixture;
    for (std::uint32_t change = 1; change <= retainedGenerations; ++change)
        fixture.submit(change);
    const std::size_t before = fixture.countKeys("/history/");
    // The first delete of each call fails, which ends the call.
    for (std::uint32_t change = 0; change < 3; ++change) {
        fixture.store.failDeletes = true;
        fixture.submit(1000 + change);
    }
    REQUIRE(fixture.countKeys("/history/") == before + 3);
    fixture.store.failDeletes = false;
    fixture.submit(2000);
    REQUIRE(fixture.countKeys("/history/") == before);
}
