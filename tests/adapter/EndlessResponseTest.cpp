#include "adapter/GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using tests::GatewayFixture;
using tests::RawServer;
using Reply = RawServer::Reply;

namespace {

// What a daemon may read of one response that never ends, with the buffers of both sockets.
constexpr std::int64_t maximumBytes = 16 * 1024 * 1024;

const std::string fill(1000, 'x');

std::string idLine(const std::string &head)
{
    return "Attempt-Id: " + GatewayFixture::headerValue(head, "Attempt-Id") + "\r\n";
}

Reply endlessHead(const std::string &)
{
    return {"HTTP/1.1 200 OK\r\n", false, false, "X-Fill: " + fill + "\r\n"};
}

Reply endlessLine(const std::string &)
{
    return {"HTTP/1.1 200 ", false, false, fill};
}

Reply interimResponses(const std::string &)
{
    return {"", false, false, "HTTP/1.1 103 Early Hints\r\nLink: " + fill + "\r\n\r\n"};
}

Reply manyLines(const std::string &)
{
    std::string lines;
    for (int line = 0; line < 16'000; ++line)
        lines += "a:\r\n";
    return {"", false, false, "HTTP/1.1 102 Processing\r\n" + lines + "\r\n"};
}

Reply emptyLines(const std::string &)
{
    return {"", false, false, "\r\n\r\n"};
}

Reply otherResponses(const std::string &)
{
    return {"", false, false, "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n"};
}

Reply unsignedBody(const std::string &head)
{
    return {"HTTP/1.1 200 OK\r\n" + idLine(head) + "\r\n", false, false, fill};
}

Reply unsignedError(const std::string &head)
{
    return {"HTTP/1.1 500 Error\r\n" + idLine(head) + "\r\n", false, false, fill};
}

Reply otherRequestsBody(const std::string &)
{
    return {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: s\r\n\r\n", false, false, fill};
}

std::string chunkedHead(const std::string &head)
{
    return "HTTP/1.1 200 OK\r\n" + idLine(head)
            + "Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

Reply trailers(const std::string &head)
{
    return {chunkedHead(head) + "0\r\n", false, false, "X-Fill: " + fill + "\r\n"};
}

Reply chunkExtensions(const std::string &head)
{
    return {chunkedHead(head), false, false, "1;" + fill + "\r\nx\r\n"};
}

Reply chunkSizeLine(const std::string &head)
{
    return {chunkedHead(head) + "1;", false, false, fill};
}

} // namespace

TEST_CASE("A response without end is cut off, and the request ends before its time is up")
{
    // Guards against a server in trouble that sends bytes until the daemon is out of memory, or
    // that keeps a request until its route's timeout, which would be answered with 504.
    struct Row
    {
        const char *name;
        RawServer::Script script;
    };
    const Row row = GENERATE(values<Row>({{"head", endlessHead},
                                          {"status line", endlessLine},
                                          {"interim responses", interimResponses},
                                          {"interim responses of many lines", manyLines},
                                          {"empty lines", emptyLines},
                                          {"responses to other requests", otherResponses},
                                          {"unsigned body", unsignedBody},
                                          {"unsigned error", unsignedError},
                                          {"body of another request", otherRequestsBody},
                                          {"trailers", trailers},
                                          {"chunk extensions", chunkExtensions},
                                          {"chunk size line", chunkSizeLine}}));
    INFO(row.name);
    RawServer server(row.script);
    GatewayFixture fixture;
    fixture.putConfiguration(1,
                             GatewayFixture::route("unsafe", "unsafe") + ","
                                     + GatewayFixture::route("safe", "safe"));
    fixture.putServer("one", server);
    fixture.start();
    fixture.waitForServers();
    CHECK(fixture.call("POST", "/unsafe/x", "id-1", "data").status == 502);
    CHECK(server.endlessBytesSent() < maximumBytes);
    const std::string metrics
            = GatewayFixture::get(fixture.settings.metricsAddress, "/metrics").body;
    CHECK(metrics.find("attempts_failed_total{reason=\"invalid-response\"} 1")
          != std::string::npos);
}
