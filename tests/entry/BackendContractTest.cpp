#include "sardinehollow_standin/content/Content.h"
#include "support/EntryFixture.h"
#include "support/RawServer.h"
#include "support/ScriptedServer.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

struct PostingCase
{
    const char *failure;
    const char *faults;
    const char *fields;
    int status;
    const char *outcome;
    std::uint32_t runs;
    const char *claim;
};

} // namespace

TEST_CASE("A posting is called not run only if it did not run, and runs at most once")
{
    const auto item = GENERATE(
            PostingCase {"a healthy server", "{}", "", 200, "complete", 1, "finished 200"},
            PostingCase {"a refused connection is called unknown",
                         R"({"backendServers": [{"name": "b0", "refuse": true}]})", "", 503,
                         "not-run", 0, "released"},
            PostingCase {"shed load is called unknown",
                         R"({"backendServers": [{"name": "b0", "shed": true}]})", "", 503,
                         "not-run", 0, "released"},
            PostingCase {"a crash during the run is called not run", "{}", "Crash: 1\r\n", 502,
                         "unknown", 1, "claimed"},
            PostingCase {"silence is called not run",
                         R"({"backendServers": [{"name": "b0", "silent": true}]})",
                         "Sardinehollow-Deadline-Ms: 300\r\n", 502, "unknown", 0, "claimed"},
            PostingCase {"a late answer is called not run",
                         R"({"backendServers": [{"name": "b0", "answerDelayMs": 600000}]})",
                         "Sardinehollow-Deadline-Ms: 300\r\n", 502, "unknown", 1, "claimed"});
    CAPTURE(item.failure);
    standin::Standin standin(tests::backendSettings(1));
    tests::EntryFixture fixture(tests::backendAddresses(standin));
    // Leaves a used connection in the pool, which a posting must not take.
    REQUIRE(fixture.get("/look").status == 200);
    REQUIRE(standin.faults().apply(item.faults).empty());
    const tests::Answer answer = fixture.post("key", item.fields);
    CHECK(answer.status == item.status);
    CHECK(answer.outcome() == item.outcome);
    const auto runs = standin.runLog().runs();
    CHECK((runs.empty() ? 0 : runs.at("key")) == item.runs);
    fixture.waitUntilIdle();
    CHECK(fixture.claims().state("key") == item.claim);
}

TEST_CASE("A posting goes out on a new connection, a look-up on a kept one")
{
    standin::Standin standin(tests::backendSettings(1));
    tests::EntryFixture fixture(tests::backendAddresses(standin));
    for (int index = 0; index < 3; ++index)
        REQUIRE(fixture.get("/look").status == 200);
    CHECK(fixture.pool().opened() == 1);
    CHECK(fixture.pool().reused() == 2);
    for (int index = 0; index < 3; ++index)
        REQUIRE(fixture.post("key" + std::to_string(index)).status == 200);
    CHECK(fixture.pool().opened() == 4);
}

TEST_CASE("One silent connection makes the others of its address suspect")
{
    standin::Standin standin(tests::backendSettings(1));
    tests::EntryFixture fixture(tests::backendAddresses(standin));
    REQUIRE(fixture.get("/look").status == 200);
    REQUIRE(standin.faults()
                    .apply(R"({"backendServers": [{"name": "b0", "silenceOpenConnections": true}]})")
                    .empty());
    CHECK(fixture.get("/look", "Sardinehollow-Deadline-Ms: 1000\r\n").outcome() != "complete");
    CHECK(fixture.pool().dropped() == 1);
    CHECK(fixture.get("/look").status == 200);
}

TEST_CASE("A kept connection that the server has closed is not used again")
{
    standin::Standin standin(tests::backendSettings(1));
    tests::EntryFixture fixture(tests::backendAddresses(standin));
    REQUIRE(fixture.get("/look").status == 200);
    REQUIRE(standin.faults()
                    .apply(R"({"backendServers": [{"name": "b0", "refuse": true}]})")
                    .empty());
    REQUIRE(standin.faults()
                    .apply(R"({"backendServers": [{"name": "b0", "refuse": false}]})")
                    .empty());
    CHECK(fixture.get("/look").status == 200);
}

TEST_CASE("A look-up goes out again if the server closes the kept connection under it")
{
    // Guards against a 502 for a request that met a kept connection as its server closed it. The
    // repeat is no attempt of its own, so it happens once and on a new connection.
    std::atomic<int> requests {0};
    std::atomic<int> closesAfterFirst {1};
    tests::RawServer server([&](const std::string &) {
        if (requests++ > 0 && closesAfterFirst-- > 0)
            return tests::RawServer::Reply {"", true};
        return tests::RawServer::Reply {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    });
    tests::EntryFixture fixture({server.address()});
    REQUIRE(fixture.get("/look").status == 200);
    CHECK(fixture.get("/look").status == 200);
    CHECK(fixture.pool().opened() == 2);
    CHECK(server.heads().size() == 3);

    // A new connection that breaks is not tried again.
    closesAfterFirst = 2;
    CHECK(fixture.get("/look").outcome() != "complete");
    CHECK(server.heads().size() == 5);
}

TEST_CASE("A download that is cut goes on from another server and is whole")
{
    standin::Standin standin(tests::backendSettings(2));
    tests::EntryFixture fixture(tests::backendAddresses(standin));
    const std::string path = "/look?bytes=500000";
    const std::string expected = standin::contentFor("GET " + path + " ", 0, 500'000);
    // Either server may be asked first, so each is cut in turn.
    for (const std::string name : {"b0", "b1"}) {
        REQUIRE(standin.faults()
                        .apply(R"({"backendServers": [{"name": ")" + name
                               + R"(", "cutBodyAfterBytes": 100000}]})")
                        .empty());
        const tests::Answer answer = fixture.get(path);
        CHECK(answer.status == 200);
        CHECK(answer.whole);
        CHECK(answer.body == expected);
        REQUIRE(standin.faults()
                        .apply(R"({"backendServers": [{"name": ")" + name
                               + R"(", "cutBodyAfterBytes": -1}]})")
                        .empty());
    }
}

TEST_CASE("A body that is cut and cannot go on never ends like a whole one")
{
    struct CutCase
    {
        const char *failure;
        const char *path;
    };
    const auto item = GENERATE(CutCase {"a fixed length", "/look?bytes=200000"},
                               CutCase {"chunks", "/look?bytes=200000&chunked=1"});
    CAPTURE(item.failure);
    standin::Standin standin(tests::backendSettings(1));
    tests::EntryFixture fixture(tests::backendAddresses(standin));
    REQUIRE(standin.faults()
                    .apply(R"({"backendServers": [{"name": "b0", "cutBodyAfterBytes": 50000}]})")
                    .empty());
    const tests::Answer answer = fixture.get(item.path);
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.whole);
}

TEST_CASE("Each response of a backend server is whole, refused or reset")
{
    struct ReplyCase
    {
        const char *failure;
        std::string reply;
        int status;
        const char *outcome;
        bool whole;
    };
    // A reset may overtake the head, so that only the missing end is certain.
    constexpr int reset = 0;
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<ReplyCase> cases {
            {"a chunked body", chunked + "3\r\nabc\r\n0\r\n\r\n", 200, "complete", true},
            {"a trailer breaks the body", chunked + "3\r\nabc\r\n0\r\nA: b\r\n\r\n", 200,
             "complete", true},
            {"the final chunk is missing", chunked + "3\r\nabc\r\n", reset, "", false},
            {"the final line is missing", chunked + "3\r\nabc\r\n0\r\n", reset, "", false},
            {"a chunk is cut", chunked + "6\r\nabc", reset, "", false},
            {"a chunk has no size", chunked + "\r\nabc\r\n0\r\n\r\n", reset, "", false},
            {"a fixed body is cut", ok + "Content-Length: 9\r\n\r\nabc", reset, "", false},
            {"a body without an end is called whole", ok + "\r\nabc", 502, "unknown", true},
            {"two lengths", ok + "Content-Length: 1\r\nContent-Length: 3\r\n\r\nabc", 502,
             "unknown", true},
            {"no response at all", "", 502, "unknown", true},
            {"no status line", "abc\r\n\r\n", 502, "unknown", true},
            {"an interim response is taken as the answer",
             "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "Content-Length: 3\r\n\r\nabc", 200,
             "complete", true},
            {"a server's own outcome field is believed",
             ok + "Sardinehollow-Outcome: not-run\r\nContent-Length: 3\r\n\r\nabc", 200, "complete",
             true},
            {"not-run is believed of an answer that ran",
             ok + "Sardinehollow-Not-Run: 1\r\nContent-Length: 3\r\n\r\nabc", 200, "complete",
             true},
            {"a 204 waits for a body", "HTTP/1.1 204 No Content\r\n\r\n", 204, "complete", true},
            {"an error status is replaced", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", 500,
             "complete", true},
    };
    for (const ReplyCase &item : cases) {
        CAPTURE(item.failure);
        const tests::ScriptedServer server(item.reply);
        const tests::EntryFixture fixture({server.address()});
        const tests::Answer answer = fixture.get("/look");
        CHECK(answer.whole == item.whole);
        if (item.status == reset)
            continue;
        CHECK(answer.status == item.status);
        CHECK(answer.outcome() == item.outcome);
    }
}

TEST_CASE("Fields that belong to one connection or to the daemon are not passed on")
{
    const tests::ScriptedServer server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    const tests::EntryFixture fixture({server.address()});
    const std::string fields = "Connection: close, Private\r\nPrivate: 1\r\nKeep: 1\r\n"
                               "Upgrade: h2c\r\nTE: trailers\r\nSardinehollow-Origin: west\r\n"
                               "Sardinehollow-Deadline-Ms: 5000\r\n";
    for (const std::string &address : {fixture.address(), fixture.forwardAddress()}) {
        REQUIRE(tests::EntryFixture::exchange(address,
                                              "GET /look HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n")
                        .status
                == 200);
        const std::string head = server.heads().back();
        CHECK(head.find("Keep: 1") != std::string::npos);
        CHECK(head.find("Private: 1") == std::string::npos);
        CHECK(head.find("Upgrade") == std::string::npos);
        CHECK(head.find("TE:") == std::string::npos);
        CHECK(head.find("Sardinehollow-Origin") == std::string::npos);
        const std::string name = "Sardinehollow-Deadline-Ms: ";
        const std::size_t start = head.find(name);
        REQUIRE(start != std::string::npos);
        CHECK(std::stoi(head.substr(start + name.size())) <= 5000);
    }
}

TEST_CASE("A server that announces that it leaves gets no new work")
{
    standin::Standin standin(tests::backendSettings(2));
    tests::EntryFixture fixture(tests::backendAddresses(standin));
    REQUIRE(standin.faults()
                    .apply(R"({"backendServers": [{"name": "b0", "leaving": true}]})")
                    .empty());
    for (int index = 0; index < 6; ++index)
        REQUIRE(fixture.get("/look").status == 200);
    // The first answer of the server tells.
    CHECK(standin.backendServers().front().requests <= 1);
}
