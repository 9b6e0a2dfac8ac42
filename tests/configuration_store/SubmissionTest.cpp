#include "sardinehollow_configuration_store/store/ConfigurationStore.h"

#include "sardinehollow_config/json/ConfigurationReader.h"
#include "support/ExampleConfiguration.h"
#include "support/FakeStore.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;

namespace {

configuration_store::Submission makeSubmission(const std::string &id)
{
    configuration_store::Submission submission;
    submission.configuration = *config::readConfiguration(tests::exampleConfiguration);
    submission.submissionId = id;
    submission.author = "operator " + id;
    submission.message = "change " + id;
    return submission;
}

struct Fixture
{
    tests::FakeStore store;
    configuration_store::ConfigurationStore configurations {store, "test",
                                                            platform::CallPurpose::Operator};
};

} // namespace

TEST_CASE("A submission is accepted only once if its reply is lost or it is sent again")
{
    Fixture fixture;
    // The store loses the replies to the first transactions, which write a part; it is written up
    // to four times.
    fixture.store.lostReplies = GENERATE(0, 1, 2, 3);
    CAPTURE(fixture.store.lostReplies);
    const auto first = fixture.configurations.submit(makeSubmission("a"));
    REQUIRE(first);
    REQUIRE(first->generation == 1);
    const auto repeated = fixture.configurations.submit(makeSubmission("a"));
    REQUIRE(repeated);
    REQUIRE(repeated->generation == 1);
    const auto loaded = fixture.configurations.load(*first);
    REQUIRE(loaded);
    REQUIRE(loaded->generation == 1);
}

TEST_CASE("A change of an outdated base is refused with the change that was accepted")
{
    Fixture fixture;
    REQUIRE(fixture.configurations.submit(makeSubmission("a")));
    auto second = makeSubmission("b");
    second.baseGeneration = 0;
    const auto refused = fixture.configurations.submit(second);
    REQUIRE_FALSE(refused);
    REQUIRE(refused.error().kind == core::ErrorKind::Conflict);
    REQUIRE(refused.error().message.find("operator a") != std::string::npos);
    REQUIRE(fixture.configurations.readHead()->head.generation == 1);
}
