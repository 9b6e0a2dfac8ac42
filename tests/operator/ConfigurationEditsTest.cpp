#include "sardinehollow_operator/edits/ConfigurationEdits.h"
#include "sardinehollow_operator/builder/ConfigurationBuilder.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

TEST_CASE("Only FAILURE-DOMAIN=CAP is accepted as a shift destination")
{
    struct Row
    {
        const char *text;
        bool valid;
        std::uint32_t cap;
    };
    const auto row = GENERATE(values<Row>({
            {"west-a=200", true, 200},
            {"west-a=0", true, 0},
            {"west-a", false, 0},
            {"=200", false, 0},
            {"west-a=", false, 0},
            {"west-a=-1", false, 0},
            {"west-a=12x", false, 0},
            {"west-a=99999999999", false, 0},
    }));
    CAPTURE(row.text);
    const auto destination = op::parseDestination(row.text);
    REQUIRE(destination.has_value() == row.valid);
    if (row.valid)
        REQUIRE(destination->capPerSecond == row.cap);
}

TEST_CASE("Edits report whether they changed the configuration")
{
    config::Configuration configuration;
    REQUIRE(op::addDrain(configuration, config::DrainTarget::Region, "east"));
    REQUIRE_FALSE(op::addDrain(configuration, config::DrainTarget::Region, "east"));
    REQUIRE_FALSE(op::removeDrain(configuration, config::DrainTarget::Vm, "east"));
    REQUIRE(op::removeDrain(configuration, config::DrainTarget::Region, "east"));
    REQUIRE(configuration.drains.empty());
    op::putShift(configuration, {"s", "east", {}, 0.1, 1.0, 0s, {}});
    op::putShift(configuration, {"s", "east", {}, 0.5, 1.0, 0s, {}});
    REQUIRE(configuration.shifts.size() == 1);
    REQUIRE(configuration.shifts[0].fraction == 0.5);
    REQUIRE(op::removeShift(configuration, "s"));
    REQUIRE_FALSE(op::removeShift(configuration, "s"));
}

TEST_CASE("A builder reports all faults instead of returning an invalid configuration")
{
    op::ConfigurationBuilder builder("test", 1s);
    builder.region("east", {"east-a"}).clientBlock("10.0.0.0/33", "nowhere");
    const auto text = builder.print();
    REQUIRE_FALSE(text);
    REQUIRE(text.error().size() == 2);
}
