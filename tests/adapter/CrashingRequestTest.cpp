#include "adapter/ExchangeFixture.h"
#include "adapter/GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using tests::ExchangeFixture;
using tests::RawServer;
using Reply = RawServer::Reply;

namespace {

/** Sends a request and returns the status of its response; 0 if there was none. */
int statusOf(const ExchangeFixture &fixture, const std::string &target,
             int deadlineMilliseconds = 60'000)
{
    Poco::Net::StreamSocket socket = fixture.connect();
    ExchangeFixture::sendRequest(socket, target, "Connection: close\r\n", deadlineMilliseconds);
    std::string text;
    char buffer[4096];
    for (int count = 1; count > 0;) {
        count = socket.receiveBytes(buffer, sizeof buffer);
        text.append(buffer, static_cast<std::size_t>(std::max(count, 0)));
    }
    return text.size() < 12 ? 0 : std::stoi(text.substr(9, 3));
}

} // namespace

// BUDGET: a request that was quarantined while an attempt ran was retried and ended another server.
TEST_CASE("A request that is quarantined while it runs is not retried")
{
    ExchangeFixture *running = nullptr;
    const auto crash = [&running](const std::string &) {
        // Another daemon reports a second server that ended with the request in flight.
        running->run([&] {
            routing::RequestQuarantine &quarantine = running->state.quarantine();
            const std::vector<routing::CrashReport> reports = quarantine.reports();
            if (!reports.empty())
                quarantine.setPeerReports("vm-2", {{reports.front().request, "other@1"}},
                                          running->now());
            quarantine.evaluate(running->now());
        });
        return Reply {"", true};
    };
    RawServer first(crash);
    RawServer one(crash);
    RawServer two(crash);
    ExchangeFixture fixture;
    running = &fixture;
    fixture.addServer("first", first);
    CHECK(statusOf(fixture, "/crash") == 502);
    fixture.removeServer("first");
    fixture.addServer("one", one);
    fixture.addServer("two", two);
    CHECK(statusOf(fixture, "/crash") == 502);
    CHECK(fixture.attempts() == 2);
}

// BUDGET: the fingerprint of a streamed request depended on how its body arrived, so that the
// repeats of a request that crashes servers were taken for others.
TEST_CASE("A streamed request that crashes servers is known again however its body arrives")
{
    RawServer server([](const std::string &) { return Reply {"", false, true}; });
    ExchangeFixture fixture;
    const std::string body(150 * 1024, 'x');
    std::uint64_t sent = 0;
    for (const std::size_t firstPart : {66 * 1024, 100 * 1024, 130 * 1024}) {
        const std::string id = std::to_string(firstPart);
        fixture.addServer(id, server);
        Poco::Net::StreamSocket socket = fixture.connect();
        const std::string head = "POST /crash HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id\r\n"
                                 "Content-Length: "
                + std::to_string(body.size()) + "\r\n\r\n";
        socket.sendBytes(head.data(), static_cast<int>(head.size()));
        // The daemon reads up to 64 KB at a time and decides once it has buffered more.
        const std::size_t start = firstPart % (64 * 1024);
        socket.sendBytes(body.data(), static_cast<int>(start));
        fixture.runIterations();
        socket.sendBytes(body.data(), static_cast<int>(body.size() - start));
        fixture.runIterations(100);
        socket.close();
        fixture.runIterations();
        sent = fixture.attempts();
        fixture.removeServer(id);
    }
    CHECK(sent == 2);
}

// BUDGET: servers that crashed after a caller had left, or without a sign, left no trace of the
// request, which went to one server after the other.
TEST_CASE("A request that was given up before its server crashed is quarantined after two crashes")
{
    const std::string end = GENERATE("the caller leaves", "the time is up");
    CAPTURE(end);
    RawServer server([](const std::string &) { return Reply {"", false, true}; });
    ExchangeFixture fixture;
    for (const std::string id : {"one", "two"}) {
        fixture.addServer(id, server);
        const std::uint64_t before = fixture.pool.opened();
        if (end == "the time is up") {
            CHECK(statusOf(fixture, "/crash", 100) == 504);
        } else {
            Poco::Net::StreamSocket socket = fixture.connect();
            ExchangeFixture::sendRequest(socket, "/crash");
            const std::size_t received = id == "one" ? 1 : 2;
            while (server.heads().size() < received)
                std::this_thread::yield();
            socket.close();
            fixture.runIterations();
        }
        CHECK(fixture.pool.opened() == before + 1);
        fixture.removeServer(id);
    }
    fixture.addServer("three", server);
    CHECK(statusOf(fixture, "/crash") == 503);
    CHECK(fixture.attempts() == 2);
}
