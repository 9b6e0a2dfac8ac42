#include "support/EntryFixture.h"
#include "support/RawServer.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/StringTokenizer.h>
#include <catch2/catch.hpp>

using namespace sardinehollow;
using tests::EntryFixture;
using tests::RawServer;

namespace {

using Poco::JSON::Object;

// Returns the log lines of an event; throws if any line is not a JSON object.
std::vector<Object::Ptr> linesOf(const EntryFixture &fixture, const std::string &event)
{
    std::vector<Object::Ptr> lines;
    for (const std::string &line :
         Poco::StringTokenizer(fixture.logText(), "\n", Poco::StringTokenizer::TOK_IGNORE_EMPTY)) {
        const auto object = Poco::JSON::Parser().parse(line).extract<Object::Ptr>();
        if (object->getValue<std::string>("event") == event)
            lines.push_back(object);
    }
    return lines;
}

std::string text(const Object::Ptr &line, const std::string &field)
{
    return line->getValue<std::string>(field);
}

RawServer::Reply ok()
{
    return {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
}

} // namespace

TEST_CASE("The id of a served request is sent to its caller and its server, and logged")
{
    RawServer server([](const std::string &) { return ok(); });
    EntryFixture fixture({server.address()});
    const tests::Answer withCallerId
            = fixture.get("/look", "Sardinehollow-Request-Id: call.17\r\n");
    CHECK(withCallerId.head.get("Sardinehollow-Request-Id", "") == "call.17");
    CHECK(server.heads().front().find("Sardinehollow-Request-Id: call.17") != std::string::npos);
    const std::string generated = fixture.get("/look", "Sardinehollow-Request-Id: a b\"\r\n")
                                          .head.get("Sardinehollow-Request-Id", "");
    CHECK(generated.find_first_of(" \"") == std::string::npos);
    CHECK_FALSE(generated.empty());
    fixture.waitUntilIdle();
    const auto lines = linesOf(fixture, "request");
    REQUIRE(lines.size() == 2);
    CHECK(text(lines[0], "id") == "call.17");
    CHECK(text(lines[1], "id") == generated);
    CHECK(text(lines[0], "outcome") == "complete");
    CHECK(lines[0]->getValue<int>("status") == 200);
    CHECK(lines[0]->getValue<int>("generation") == 1);
    CHECK(text(lines[0], "targets").front() == 'b');
}

TEST_CASE("Each end of a request is logged with its reason")
{
    struct EndCase
    {
        const char *failure;
        const char *target;
        const char *outcome;
        const char *reason;
        int attempts;
    };
    const auto item = GENERATE(EndCase {"a lost connection is logged as a refusal", "/look",
                                        "unknown", "backend-unreachable", 1},
                               EndCase {"a request without a key is not logged", "/post", "not-run",
                                        "key-missing", 0});
    CAPTURE(item.failure);
    RawServer server([](const std::string &) { return RawServer::Reply {"", true}; });
    EntryFixture fixture({server.address()});
    const std::string method = item.attempts > 0 ? "GET " : "POST ";
    EntryFixture::exchange(fixture.address(),
                           method + item.target
                                   + " HTTP/1.1\r\nHost: x\r\nSardinehollow-Request-Id: r1\r\n"
                                     "Content-Length: 0\r\n\r\n");
    fixture.waitUntilIdle();
    const auto lines = linesOf(fixture, "request");
    REQUIRE(lines.size() == 1);
    CHECK(text(lines[0], "id") == "r1");
    CHECK(text(lines[0], "outcome") == item.outcome);
    CHECK(text(lines[0], "reason") == item.reason);
    CHECK(lines[0]->getValue<int>("attempts") == item.attempts);
    const auto failed = linesOf(fixture, "attempt-failed");
    REQUIRE(failed.size() == static_cast<std::size_t>(item.attempts));
    if (!failed.empty()) {
        CHECK(text(failed[0], "id") == "r1");
        CHECK(text(failed[0], "outcome") == "connection-lost");
    }
}

TEST_CASE("A request of no work kind is logged with the id that its caller receives")
{
    EntryFixture fixture({"127.0.0.1:1"});
    const tests::Answer answer = fixture.get("/nowhere");
    CHECK(answer.status == 404);
    const auto lines = linesOf(fixture, "refused");
    REQUIRE(lines.size() == 1);
    CHECK(text(lines[0], "id") == answer.head.get("Sardinehollow-Request-Id", ""));
    CHECK(text(lines[0], "reason") == "unknown-work-kind");
}
