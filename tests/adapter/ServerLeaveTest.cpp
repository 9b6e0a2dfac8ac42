#include "adapter/GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using tests::GatewayFixture;
using tests::RawServer;
using Reply = RawServer::Reply;

namespace {

std::string leavingHead(const std::string &head, const std::string &status,
                        const std::string &fields)
{
    return "HTTP/1.1 " + status
            + "\r\nAttempt-Id: " + GatewayFixture::headerValue(head, "Attempt-Id") + "\r\n" + fields
            + "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against DRAIN: the daemon learned from the store alone that a server leaves, and sent on
// requests to it while the store was away or late.
TEST_CASE("A server that announces in a response that it leaves gets no further request")
{
    struct Row
    {
        const char *name;
        RawServer::Script script;
        /** Status of a request that may not be repeated, if another server can run it. */
        int status;
    };
    const Row row = GENERATE(
            values<Row>({{"success",
                          [](const std::string &head) {
                              return Reply {leavingHead(head, "200 OK", "Server-Seal: s\r\n")};
                          },
                          200},
                         {"failure",
                          [](const std::string &head) {
                              return Reply {leavingHead(head, "500 Error", "Server-Seal: s\r\n")};
                          },
                          500},
                         {"refusal",
                          [](const std::string &head) {
                              return Reply {leavingHead(head, "503 Busy", "Not-Executed: 1\r\n")};
                          },
                          200}}));
    INFO(row.name);
    RawServer leaving(row.script);
    RawServer staying([](const std::string &head) {
        return Reply {GatewayFixture::completeResponse(head, "", "Server-Load: 0,0,6\r\n")};
    });
    GatewayFixture fixture;
    fixture.putConfiguration(1, GatewayFixture::route("unsafe", "unsafe"));
    fixture.putServer("leaving", leaving);
    fixture.putServer("staying", staying);
    fixture.start();
    fixture.waitForServers(2);
    constexpr int objects = 40;
    const auto callFor = [&fixture](const std::string &phase, int object) {
        const std::string name = std::to_string(object);
        return fixture.call("POST", "/unsafe/x", phase + name, "data", 4000, name).status;
    };
    for (int object = 0; object < objects && leaving.heads().empty(); ++object) {
        const int status = callFor("first-", object);
        CHECK(status == (leaving.heads().empty() ? 200 : row.status));
    }
    REQUIRE(leaving.heads().size() == 1);
    // Its entry in the store is still that of a server that is ready.
    for (int object = 0; object < objects; ++object)
        CHECK(callFor("later-", object) == 200);
    CHECK(leaving.heads().size() == 1);
}
