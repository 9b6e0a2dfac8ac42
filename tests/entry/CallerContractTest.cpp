#include "support/EntryFixture.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

struct InputCase
{
    const char *failure;
    std::string bytes;
    int status;
    const char *outcome;
};

std::string request(const std::string &line, const std::string &fields,
                    const std::string &body = "")
{
    return line + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" + body;
}

std::vector<InputCase> inputCases()
{
    const std::string key = "Idempotency-Key: k\r\n";
    const std::string chunked = key + "Transfer-Encoding: chunked\r\n";
    const std::string large(300'000, 'x');
    return {
            {"a request without a Host field is served", "GET /look HTTP/1.1\r\n\r\n", 400,
             "not-run"},
            {"an unknown version is served", "GET /look HTTP/7.0\r\nHost: x\r\n\r\n", 505,
             "not-run"},
            {"garbage ends the process", "\x01\x02\x03\r\n\r\n", 400, "not-run"},
            {"a target that is not a path is served", request("GET look", ""), 400, "not-run"},
            {"an odd method reaches a server", request("BREW /look", ""), 404, "not-run"},
            {"a path of no work kind reaches a server", request("GET /other", ""), 404, "not-run"},
            {"a length that is not a number closes without a response",
             request("POST /post", key + "Content-Length: abc\r\n"), 400, "not-run"},
            {"a negative length reads without end",
             request("POST /post", key + "Content-Length: -1\r\n"), 400, "not-run"},
            {"a length beyond 64 bits ends the process",
             request("POST /post", key + "Content-Length: 99999999999999999999999\r\n"), 400,
             "not-run"},
            {"two lengths smuggle a request",
             request("POST /post", key + "Content-Length: 1\r\nContent-Length: 2\r\n", "xx"), 400,
             "not-run"},
            {"a length and chunks smuggle a request",
             request("POST /post", chunked + "Content-Length: 3\r\n", "0\r\n\r\n"), 400, "not-run"},
            {"an unknown transfer coding smuggles a request",
             request("POST /post", key + "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400,
             "not-run"},
            {"an invalid chunk size is taken as the end",
             request("POST /post", chunked, "zz\r\nabc\r\n0\r\n\r\n"), 400, "not-run"},
            {"a deadline that is not a number is ignored",
             request("GET /look", "Sardinehollow-Deadline-Ms: soon\r\n"), 400, "not-run"},
            {"a deadline beyond 64 bits overflows",
             request("GET /look", "Sardinehollow-Deadline-Ms: 99999999999999999999\r\n"), 400,
             "not-run"},
            {"a deadline near 64 bits overflows into the past",
             request("GET /look", "Sardinehollow-Deadline-Ms: 9223372036854775807\r\n"), 200,
             "complete"},
            {"a deadline in the past is served",
             request("GET /look", "Sardinehollow-Deadline-Ms: -5\r\n"), 503, "not-run"},
            {"a non-idempotent request without a key runs twice",
             request("POST /post", "Content-Length: 1\r\n", "x"), 400, "not-run"},
            {"a body above the limit is read by its length",
             request("POST /post", key + "Content-Length: 300000\r\n", large), 413, "not-run"},
            {"a chunked body above the limit is read to its end",
             request("POST /post", chunked, "493e0\r\n" + large + "\r\n0\r\n\r\n"), 413, "unknown"},
            {"a field of 100 KB is buffered",
             request("GET /look", "Big: " + std::string(100'000, 'x') + "\r\n"), 400, "not-run"},
            {"a caller sets its rank by a header",
             request("GET /look", "Sardinehollow-Rank: bulk\r\nSardinehollow-Origin: west\r\n"),
             200, "complete"},
            {"a look-up without a work kind ends the process", request("GET /v1/entries", ""), 400,
             "not-run"},
            {"a look-up of a bad address ends the process",
             request("GET /v1/entries?kind=look&caller=%zz", ""), 400, "not-run"},
    };
}

} // namespace

TEST_CASE("Malformed input gets a defined response and the next caller is served")
{
    standin::Standin standin(tests::backendSettings(1));
    const tests::EntryFixture fixture(tests::backendAddresses(standin));
    for (const InputCase &input : inputCases()) {
        CAPTURE(input.failure);
        const tests::Answer answer = tests::EntryFixture::exchange(fixture.address(), input.bytes);
        CHECK(answer.status == input.status);
        CHECK(answer.outcome() == input.outcome);
        CHECK(fixture.get("/look").status == 200);
    }
    fixture.waitUntilIdle();
}

TEST_CASE("An unread body is not parsed as the next request")
{
    standin::Standin standin(tests::backendSettings(1));
    const tests::EntryFixture fixture(tests::backendAddresses(standin));
    const std::string hidden = request("GET /look", "");
    (void)tests::EntryFixture::exchange(
            fixture.address(),
            request("POST /other", "Content-Length: " + std::to_string(hidden.size()) + "\r\n",
                    hidden));
    CHECK(standin.backendServers().front().requests == 0);
}

TEST_CASE("Two requests on one connection are both answered in order")
{
    standin::Standin standin(tests::backendSettings(1));
    const tests::EntryFixture fixture(tests::backendAddresses(standin));
    core::HttpConnection connection(Poco::Net::SocketAddress(fixture.address()), 10s);
    for (const std::uint64_t bytes : {10, 20}) {
        connection.send(request("GET /look?bytes=" + std::to_string(bytes), ""));
        Poco::Net::HTTPResponse head;
        connection.receiveHead(head);
        CHECK(head.getContentLength64() == static_cast<Poco::Int64>(bytes));
        core::HttpBodyReader reader(connection, core::framingOf(head, "GET"));
        std::array<char, 64> buffer {};
        while (!reader.isAtEnd())
            (void)reader.read(buffer.data(), buffer.size());
        CHECK(reader.isComplete());
    }
}

TEST_CASE("A response without a body ends with its head")
{
    standin::Standin standin(tests::backendSettings(1));
    const tests::EntryFixture fixture(tests::backendAddresses(standin));
    const tests::Answer head = tests::EntryFixture::exchange(
            fixture.address(), request("HEAD /look?bytes=77", ""), "HEAD");
    CHECK(head.status == 200);
    CHECK(head.head.getContentLength64() == 77);
    const std::string tag = head.head.get("ETag", "");
    const tests::Answer unchanged = fixture.get("/look?bytes=77", "If-None-Match: " + tag + "\r\n");
    CHECK(unchanged.status == 304);
    CHECK(unchanged.isComplete);
}

TEST_CASE("A caller that expects 100-continue is asked for its body only if it is needed")
{
    standin::Standin standin(tests::backendSettings(1));
    const tests::EntryFixture fixture(tests::backendAddresses(standin));
    struct ExpectCase
    {
        const char *failure;
        const char *path;
        const char *firstLine;
    };
    const auto item = GENERATE(
            ExpectCase {"the caller waits for an interim response", "/post", "HTTP/1.1 100"},
            ExpectCase {"the caller sends a body that is not needed", "/other", "HTTP/1.1 404"});
    CAPTURE(item.failure);
    core::HttpConnection connection(Poco::Net::SocketAddress(fixture.address()), 10s);
    connection.send("POST " + std::string(item.path)
                    + " HTTP/1.1\r\nHost: x\r\nIdempotency-Key: e\r\nExpect: 100-continue\r\n"
                      "Content-Length: 4\r\n\r\n");
    std::string line(std::string(item.firstLine).size(), ' ');
    connection.socket().receiveBytes(line.data(), static_cast<int>(line.size()));
    CHECK(line == item.firstLine);
}

TEST_CASE("Disconnecting cancels an idempotent request, while a non-idempotent one is recorded")
{
    standin::Standin standin(tests::backendSettings(1, 300ms));
    tests::EntryFixture fixture(tests::backendAddresses(standin));
    standin::SimulatedBackend &server = standin.backendServers().front();
    {
        core::HttpConnection connection(Poco::Net::SocketAddress(fixture.address()), 10s);
        connection.send(request("GET /look", ""));
        while (server.inFlight == 0)
            std::this_thread::sleep_for(1ms);
    }
    while (server.cancelledRuns == 0)
        std::this_thread::sleep_for(1ms);
    {
        core::HttpConnection connection(Poco::Net::SocketAddress(fixture.address()), 10s);
        connection.send(
                request("POST /post", "Idempotency-Key: gone\r\nContent-Length: 1\r\n", "x"));
        while (server.inFlight == 0)
            std::this_thread::sleep_for(1ms);
    }
    while (fixture.claims().state("gone") != "finished 200")
        std::this_thread::sleep_for(1ms);
    CHECK(server.cancelledRuns == 1);
    fixture.waitUntilIdle();
}
