#include "platform/PlatformSchema.h"
#include "platform/PlatformProtocol.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using adapter::PlatformProtocol;
using adapter::PlatformSchema;

namespace {

const std::string server
        = R"({"address":"10.0.0.1:80","born":1700000000000,"info":{"service":"s","version":"v1",)"
          R"("zone":"east-a","slots":6},"status":{"state":"ready","seq":4,"coldLeftS":1.5}})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("A backend server's entry is decoded")
{
    const auto decoded = PlatformSchema().decodeServer("i-1", server);
    REQUIRE(decoded);
    CHECK(decoded->id == "i-1");
    CHECK(decoded->service == "s");
    CHECK(decoded->failureDomain == "east-a");
    CHECK(decoded->slots == 6);
    CHECK_FALSE(decoded->isDraining);
    CHECK(decoded->coldFor == std::chrono::milliseconds(1500));
    CHECK(decoded->startedAt == 1700000000000);
    const auto draining
            = PlatformSchema().decodeServer("i-1", replaced(server, "ready", "draining"));
    REQUIRE(draining);
    CHECK(draining->isDraining);
}

TEST_CASE("A malformed entry is not decoded as a backend server")
{
    const std::string text = GENERATE(
            std::string(), std::string("{"), std::string("[]"), std::string("\xff\xfe"),
            std::string("null"), replaced(server, "ready", "resting"),
            replaced(server, "\"10.0.0.1:80\"", "7"), replaced(server, "\"s\"", "[]"),
            replaced(server, "\"slots\":6", "\"slots\":\"6\""),
            replaced(server, "\"seq\":4", "\"seq\":null"),
            replaced(server, "\"coldLeftS\":1.5", "\"coldLeftS\":-1"),
            replaced(server, "\"info\"", "\"other\""), replaced(server, "\"zone\"", "\"place\""));
    INFO(text);
    CHECK_FALSE(PlatformSchema().decodeServer("i-1", text));
}

TEST_CASE("A configuration is decoded, and a malformed one is rejected")
{
    const std::string text
            = R"({"version":7,"routes":{"r":{"host":"h","prefix":"/p/","kind":"download",)"
              R"("timeoutS":2,"targetLatencyS":0.3,"priority":1,"trafficSplit":[)"
              R"({"service":"a","weight":90},{"service":"b","weight":10}],"maxAttempts":2,)"
              R"("sticky":true,"homeRegions":["east"]}},"services":{"a":{"coldPerS":13.0}},)"
              R"("limits":{"headerBytes":100,"bodyBytes":200,"headerTimeoutS":3,"idleTimeoutS":15}})";
    const auto decoded = PlatformSchema().decodeConfiguration(text);
    REQUIRE(decoded);
    CHECK(decoded->version == 7);
    REQUIRE(decoded->routes.size() == 1);
    const routing::Route &route = decoded->routes.front();
    CHECK(route.isIdempotent);
    CHECK(route.hasLargeResponses);
    CHECK(route.services.size() == 2);
    CHECK(route.timeout == std::chrono::seconds(2));
    CHECK(route.homeRegions == std::vector<std::string> {"east"});
    CHECK(decoded->services.at("a").coldRequestsPerSecond == 13.0);
    CHECK(decoded->limits.idleTimeout == std::chrono::seconds(15));
    CHECK_FALSE(PlatformSchema().decodeConfiguration("{}"));
    CHECK_FALSE(PlatformSchema().decodeConfiguration(replaced(text, "\"kind\"", "\"sort\"")));
    CHECK_FALSE(PlatformSchema().decodeConfiguration(text.substr(0, text.size() / 2)));
}

TEST_CASE("The key of an evacuation names its failure domain")
{
    CHECK(PlatformSchema().evacuatedDomain("op/evacuate/east-a") == "east-a");
    CHECK_FALSE(PlatformSchema().evacuatedDomain("op/config"));
}

TEST_CASE("A malformed load report is ignored")
{
    Poco::Net::HTTPResponse response;
    response.set("Server-Load", "3,1,8");
    const auto load = PlatformProtocol().readBackendResponse(response).load;
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 8);
    CHECK(load->slowdown == 1);
    const char *text = GENERATE("", "3", "3,1", "a,b,c", "3,1,8,x", "3,1,8,0", "3,1,8,-9",
                                "3,1,8,100,1", "-3,1,8");
    response.set("Server-Load", text);
    const auto fields = PlatformProtocol().readBackendResponse(response);
    CHECK_FALSE(fields.load);
    CHECK(fields.hasMalformedLoad);
}

TEST_CASE("A load report may tell how long requests run at the moment")
{
    // Guards against dropping the reports of servers that share their machine with others.
    Poco::Net::HTTPResponse response;
    CHECK_FALSE(PlatformProtocol().readBackendResponse(response).hasMalformedLoad);
    response.set("Server-Load", "3,1,8,150");
    const auto load = PlatformProtocol().readBackendResponse(response).load;
    REQUIRE(load);
    CHECK(load->slots == 8);
    CHECK(load->slowdown == 1.5);
}

TEST_CASE("A request limit is read as a number that can be counted, or counted as malformed")
{
    // Guards against limits that no integer can hold, which made the number of senders undefined.
    struct Row
    {
        const char *text;
        std::optional<double> limit;
    };
    const Row row = GENERATE(values<Row>({{"9.5", 9.5},
                                          {"0", 0},
                                          {"1e300", 1e6},
                                          {"", std::nullopt},
                                          {"many", std::nullopt},
                                          {"-1", std::nullopt},
                                          {"inf", std::nullopt}}));
    INFO(row.text);
    Poco::Net::HTTPResponse response;
    response.set("Server-Limit", row.text);
    const auto fields = PlatformProtocol().readBackendResponse(response);
    CHECK(fields.requestsPerSecond == row.limit);
    CHECK(fields.hasMalformedLimit == !row.limit);
}
