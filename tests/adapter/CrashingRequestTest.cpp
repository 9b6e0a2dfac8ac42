#include "adapter/ExchangeFixture.h"
#include "support/RawServer.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using tests::ExchangeFixture;
using tests::RawServer;
using Reply = RawServer::Reply;

// Guards against a retry that ends another server although the request has been quarantined.
TEST_CASE("A request that is quarantined while it runs is not retried")
{
    ExchangeFixture fixture;
    RawServer server([&fixture](const std::string &) {
        // Another daemon reports a second server that ended with the request in flight.
        fixture.loopThread.run([&] {
            routing::RequestQuarantine &quarantine = fixture.routing.quarantine();
            const std::vector<routing::CrashReport> reports = quarantine.reports();
            if (!reports.empty())
                quarantine.setPeerReports("vm-2", {{reports.front().request, "other@1"}},
                                          fixture.loop.now());
            quarantine.evaluate(fixture.loop.now());
        });
        return Reply {"", true};
    });
    fixture.addServer("first", server.address());
    CHECK(fixture.call("/crash") == 502);
    fixture.removeServer("first");
    REQUIRE(fixture.crashReports() == 1);
    fixture.addServer("one", server.address());
    fixture.addServer("two", server.address());
    CHECK(fixture.call("/crash") == 502);
    CHECK(fixture.attempts() == 2);
}

// Guards against taking repeats of a streamed request for others, by how the body arrives.
TEST_CASE("A streamed request that crashes servers is known again however its body arrives")
{
    RawServer server([](const std::string &) { return Reply {"", false, true}; });
    ExchangeFixture fixture;
    const std::string request = ExchangeFixture::request("/crash", std::string(150 * 1024, 'x'));
    // The daemon reads up to 64 KB at a time and begins to stream once it has buffered more.
    for (const std::size_t firstPart : {2 * 1024, 36 * 1024, 50 * 1024}) {
        const std::string id = std::to_string(firstPart);
        fixture.addServer(id, server.address());
        Poco::Net::StreamSocket socket = fixture.send(request.substr(0, firstPart));
        fixture.settle();
        fixture.write(socket, request.substr(firstPart));
        fixture.settle();
        socket.close();
        fixture.settle();
        fixture.removeServer(id);
        fixture.crashReports();
    }
    CHECK(fixture.attempts() == 2);
}

// Guards against servers that end one after the other under a request whose attempts were given up:
// its caller left, or the server went silent.
TEST_CASE("A request that was given up before its server crashed is quarantined after two crashes")
{
    const bool isTimedOut = GENERATE(false, true);
    const bool isRefusing = GENERATE(false, true);
    CAPTURE(isTimedOut, isRefusing);
    ExchangeFixture fixture;
    for (const std::string id : {"one", "two"}) {
        auto server = std::make_unique<RawServer>([](const std::string &) {
            return Reply {"", false, true};
        });
        fixture.addServer(id, server->address());
        const std::size_t known = fixture.crashReports();
        const std::uint64_t opened = fixture.pool.opened();
        if (isTimedOut) {
            CHECK(fixture.call("/crash", 100) == 504);
        } else {
            Poco::Net::StreamSocket socket = fixture.send(fixture.request("/crash"));
            while (server->heads().empty())
                std::this_thread::yield();
            socket.close();
            fixture.settle();
        }
        CHECK(fixture.pool.opened() == opened + 1);
        CHECK(fixture.crashReports() == known);
        if (isRefusing) {
            server.reset();
            CHECK(fixture.call("/other") == 503);
            CHECK(fixture.crashReports() == known + 1);
        }
        fixture.removeServer(id);
        CHECK(fixture.crashReports() == known + 1);
    }
    RawServer third([](const std::string &) { return Reply {"", true}; });
    fixture.addServer("three", third.address());
    CHECK(fixture.call("/crash") == 503);
    CHECK(third.heads().empty());
}

// BUDGET: repeats of other callers, or with another spelling of the host, ended two more servers.
TEST_CASE("A request that crashes servers is known again whoever sends it")
{
    struct Repeat
    {
        const char *callerAddress;
        const char *host;
    };
    const Repeat repeat
            = GENERATE(Repeat {"127.0.0.2", "h.example"}, Repeat {"127.0.0.1", "H.Example"},
                       Repeat {"127.0.0.1", "h.example:80"});
    CAPTURE(repeat.callerAddress, repeat.host);
    ExchangeFixture fixture;
    RawServer server([](const std::string &) { return Reply {"", true}; });
    fixture.addServer("one", server.address());
    CHECK(fixture.call("/crash") == 502);
    fixture.removeServer("one");
    fixture.crashReports();
    fixture.addServer("two", server.address());
    CHECK(ExchangeFixture::statusOf(
                  fixture.send(ExchangeFixture::request("/crash", "", 60'000, repeat.host),
                               repeat.callerAddress))
          == 502);
    fixture.removeServer("two");
    fixture.crashReports();
    fixture.addServer("three", server.address());
    CHECK(fixture.call("/crash") == 503);
    CHECK(fixture.attempts() == 2);
}

// Guards against a request that ends server after server because some servers fail it in between.
TEST_CASE("A failure response does not clear a request of the servers that it crashed")
{
    const int status = GENERATE(404, 500);
    CAPTURE(status);
    ExchangeFixture fixture;
    RawServer crashing([](const std::string &) { return Reply {"", true}; });
    RawServer answering([status](const std::string &) {
        return Reply {"HTTP/1.1 " + std::to_string(status)
                      + " Answer\r\nServer-Seal: s\r\nAttempt-Id: id\r\nContent-Length: 0\r\n\r\n"};
    });
    for (const std::string id : {"one", "two"}) {
        fixture.addServer(id, crashing.address());
        CHECK(fixture.call("/crash") == 502);
        fixture.removeServer(id);
        fixture.crashReports();
        if (id == "two")
            break;
        // As many as there are attempts, so that the last failure is delivered.
        const std::vector<std::string> others {"a", "b", "c"};
        for (const std::string &other : others)
            fixture.addServer(other, answering.address());
        CHECK(fixture.call("/crash") == status);
        for (const std::string &other : others)
            fixture.removeServer(other);
    }
    fixture.addServer("three", crashing.address());
    const bool isCleared = status == 404;
    CHECK(fixture.call("/crash") == (isCleared ? 502 : 503));
    CHECK(crashing.heads().size() == (isCleared ? 3 : 2));
}
