#include "support/StandinFixture.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;

TEST_CASE("Errors in the stand-in's settings are reported with their JSON pointer")
{
    struct SettingsCase
    {
        const char *text;
        const char *pointer;
    };
    const auto item = GENERATE(
            SettingsCase {R"({"controlAddress": "127.0.0.1:0"})", "/platformAddress"},
            SettingsCase {R"({"platformAddress": "x", "controlAddress": "127.0.0.1:0"})",
                          "/platformAddress"},
            SettingsCase {R"({"platformAddress": "127.0.0.1:0", "controlAddress": "127.0.0.1:0",
                              "writePerSecond": 3})",
                          "/writePerSecond"},
            SettingsCase {R"({"platformAddress": "127.0.0.1:0", "controlAddress": "127.0.0.1:0",
                              "backendServers": [{"name": "a", "address": "127.0.0.1:0",
                                                  "slots": 0}]})",
                          "/backendServers/0/slots"});
    CAPTURE(item.text);
    const auto settings = standin::readStandinSettings(item.text);
    REQUIRE_FALSE(settings);
    CHECK(settings.error().front().pointer == item.pointer);
}

TEST_CASE("An unknown fault switch rejects all, so that no experiment runs without its fault")
{
    standin::Standin standin(tests::standinSettings());
    const auto faults = standin.faults().apply(R"({"storeOutage": true, "storeOutrage": true})");
    REQUIRE(faults.size() == 1);
    CHECK(faults.front().pointer == "/storeOutrage");
    CHECK_FALSE(standin.platform().outage);
}
