#include "adapter/GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using tests::GatewayFixture;
using tests::RawServer;

namespace {

std::string entry(const std::string &address, const std::string &slots,
                  const std::string &coldFor = "0", const std::string &sequence = "1")
{
    return R"({"address":")" + address
            + R"(","info":{"service":"s","version":"v1","zone":"east-a","slots":)" + slots
            + R"(},"status":{"state":"ready","seq":)" + sequence + R"(,"coldLeftS":)" + coldFor
            + "}}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** Value of a metric without labels; -1 if it is missing. */
int metric(const GatewayFixture &fixture, const std::string &name)
{
    const std::string text = GatewayFixture::get(fixture.settings.metricsAddress, "/metrics").body;
    const std::string start = "\nsardinehollow_" + name + " ";
    const std::size_t found = text.find(start);
    return found == std::string::npos ? -1 : std::stoi(text.substr(found + start.size()));
}

} // namespace

// An entry of another program ended daemons that read it, or kept them from reading the others:
// LOST. Here it was taken for a server, and requests were sent to it.
TEST_CASE("An odd entry among those of the servers names no server and leaves the others in use")
{
    struct OddCase
    {
        const char *name;
        std::string id;
        std::string value;
    };
    const std::string good = "127.0.0.1:1";
    const OddCase item = GENERATE_COPY(
            OddCase {"deeply nested", "odd", nested(100'000)},
            OddCase {"nested within the parser's limit", "odd", nested(900)},
            OddCase {"nested in an object", "odd", "{\"address\":" + nested(900) + "}"},
            OddCase {"port out of range", "odd", entry("127.0.0.1:99999", "6")},
            OddCase {"port zero", "odd", entry("127.0.0.1:0", "6")},
            OddCase {"no port", "odd", entry("127.0.0.1", "6")},
            OddCase {"host name", "odd", entry("host.example:80", "6")},
            OddCase {"too many slots", "odd", entry(good, "1e300")},
            OddCase {"slots beyond any type", "odd", entry(good, "99999999999999999999999")},
            OddCase {"no slots", "odd", entry(good, "0")},
            OddCase {"cold for ever", "odd", entry(good, "6", "1e300")},
            OddCase {"too large a sequence number", "odd", entry(good, "6", "0", "1e300")},
            OddCase {"an id that ends a header field", "odd\r\nX-Other: 1", entry(good, "6")});
    CAPTURE(item.name);
    RawServer server([](const std::string &head) {
        return RawServer::Reply {GatewayFixture::completeResponse(head, "body")};
    });
    GatewayFixture fixture;
    fixture.putConfiguration(1, GatewayFixture::route("unsafe", "unsafe"));
    fixture.put("servers/" + item.id, item.value);
    fixture.putServer("one", server);
    fixture.start();
    while (metric(fixture, "backend_servers") <= 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(metric(fixture, "backend_servers") == 1);
    for (const std::string object : {"1", "2", "3", "4", "5", "6"}) {
        INFO(object);
        CHECK(fixture.call("POST", "/unsafe/x", "id-" + object, "data", 4000, object).status
              == 200);
    }
    // Later changes are followed as well.
    RawServer later([](const std::string &head) {
        return RawServer::Reply {GatewayFixture::completeResponse(head, "body")};
    });
    fixture.putServer("two", later);
    while (metric(fixture, "backend_servers") < 2)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(metric(fixture, "backend_servers") == 2);
}
