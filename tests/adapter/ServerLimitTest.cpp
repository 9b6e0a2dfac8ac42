#include "adapter/GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using tests::GatewayFixture;
using tests::RawServer;
using Reply = RawServer::Reply;

// Guards against LIMIT: the daemon did not read the limit in a server's responses and went on as
// the objects' homes want.
TEST_CASE("A server that states a limit in a response gets no more than that")
{
    struct Row
    {
        const char *name;
        const char *status;
        const char *fields;
    };
    const Row row = GENERATE(values<Row>({
            {"success", "200 OK", "Server-Seal: s\r\n"},
            {"failure", "500 Error", "Server-Seal: s\r\n"},
            {"refusal", "503 Busy", "Not-Executed: 1\r\n"},
    }));
    INFO(row.name);
    RawServer limited([&row](const std::string &head) {
        return Reply {std::string("HTTP/1.1 ") + row.status + "\r\nAttempt-Id: "
                      + GatewayFixture::headerValue(head, "Attempt-Id") + "\r\n" + row.fields
                      + "Server-Limit: 0\r\nServer-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n"};
    });
    RawServer other([](const std::string &head) {
        return Reply {GatewayFixture::completeResponse(head, "", "Server-Load: 0,0,6\r\n")};
    });
    GatewayFixture fixture;
    fixture.putConfiguration(1, GatewayFixture::route("unsafe", "unsafe"));
    fixture.putServer("limited", limited);
    fixture.putServer("other", other);
    fixture.start();
    fixture.waitForServers(2);
    constexpr int requests = 60;
    for (int index = 0; index < requests; ++index) {
        const std::string name = std::to_string(index);
        fixture.call("POST", "/unsafe/x", "id-" + name, "data", 4000, name);
    }
    // A daemon alone asks again each few seconds; the requests take less than one.
    CHECK(limited.heads().size() >= 1);
    CHECK(limited.heads().size() <= requests / 10);
    CHECK(other.heads().size() >= requests * 8 / 10);
}

// Guards against BUDGET: the daemon ignored the Retry-After of a server's refusals and sent it the
// requests of the objects whose home it is.
TEST_CASE("A server that refuses with Retry-After gets no request until that time has passed")
{
    struct Row
    {
        const char *name;
        const char *status;
        const char *retryAfter;
        bool isPaused;
    };
    const Row row = GENERATE(values<Row>({
            {"seconds", "503 Busy", "300", true},
            {"fraction", "503 Busy", "299.5", true},
            {"longer than a duration", "503 Busy", "1e300", true},
            {"not a number", "503 Busy", "soon", false},
            {"negative", "503 Busy", "-5", false},
            {"another status", "429 Busy", "300", false},
    }));
    INFO(row.name);
    RawServer refusing([&row](const std::string &head) {
        return Reply {std::string("HTTP/1.1 ") + row.status
                      + "\r\nAttempt-Id: " + GatewayFixture::headerValue(head, "Attempt-Id")
                      + "\r\nNot-Executed: 1\r\nServer-Load: 0,0,6\r\nRetry-After: "
                      + row.retryAfter + "\r\nContent-Length: 0\r\n\r\n"};
    });
    GatewayFixture fixture;
    fixture.putConfiguration(1, GatewayFixture::route("unsafe", "unsafe"));
    fixture.putServer("refusing", refusing);
    fixture.start();
    fixture.waitForServers();
    constexpr std::size_t requests = 10;
    double retryAfter = 0;
    for (std::size_t index = 0; index < requests; ++index) {
        const auto response
                = fixture.call("POST", "/unsafe/x", "id-" + std::to_string(index), "data");
        CHECK(response.status == 503);
        retryAfter = std::stod(response.head.get("Retry-After", "0"));
    }
    CHECK(refusing.heads().size() == (row.isPaused ? 1 : requests));
    // The last refusal is the daemon's own; it tells when the only server takes requests again.
    CHECK((retryAfter > 100) == row.isPaused);
}
