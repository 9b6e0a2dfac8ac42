#include "sardinehollow_entry/server/OperatorServer.h"
#include "support/EntryFixture.h"

#include <Poco/RegularExpression.h>
#include <Poco/StringTokenizer.h>
#include <catch2/catch.hpp>
#include <spdlog/sinks/null_sink.h>

#include <set>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

class FixedStatus : public entry::StatusSource
{
public:
    bool isReady() const override { return ready; }
    std::string statusJson() const override { return "{}"; }
    std::string metricsText() const override { return "metrics\n"; }

    std::atomic<bool> ready {true};
    logging::EventLog log {std::make_shared<spdlog::sinks::null_sink_mt>()};
};

tests::Answer fetch(const entry::OperatorServer &listener, const std::string &path)
{
    return tests::EntryFixture::exchange(listener.address(),
                                         "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
}

} // namespace

TEST_CASE("Every line of the metrics is valid in the Prometheus text format")
{
    entry::Metrics metrics;
    metrics.countRefusal(policy::RefusalReason::QueueFull);
    metrics.countLookup();
    metrics.recordLatency("ur\"gent\\", "look\nup", 3ms);
    metrics.add("events_total{kind=\"a\"}", 2);
    metrics.add("events_total{kind=\"b\"}");
    metrics.setGauge("queue_length", 4);
    const Poco::RegularExpression comment("# (HELP|TYPE) [a-z_]+ .+");
    const Poco::RegularExpression sample(
            R"re([a-z_]+(\{[a-z_]+="([^"\\]|\\.)*"(,[a-z_]+="([^"\\]|\\.)*")*\})? [-+0-9.e]+)re");
    std::set<std::string> declared;
    std::set<std::string> seen;
    for (const std::string &line : Poco::StringTokenizer(metrics.prometheusText(), "\n",
                                                         Poco::StringTokenizer::TOK_IGNORE_EMPTY)) {
        CAPTURE(line);
        if (line.front() == '#') {
            REQUIRE(comment.match(line));
            const std::string name = line.substr(7, line.find(' ', 7) - 7);
            if (line.rfind("# TYPE", 0) == 0)
                CHECK(declared.insert(name).second);
            continue;
        }
        REQUIRE(sample.match(line));
        std::string name = line.substr(0, line.find_first_of("{ "));
        for (const std::string suffix : {"_bucket", "_sum", "_count"}) {
            const std::size_t start = name.size() - suffix.size();
            if (name.size() > suffix.size() && name.substr(start) == suffix)
                name.resize(start);
        }
        CHECK(declared.count(name) == 1);
        CHECK(seen.insert(line.substr(0, line.rfind(' '))).second);
    }
    CHECK(seen.count("sardinehollow_events_total{kind=\"b\"}") == 1);
}

TEST_CASE("Each operator path responds, and readiness follows the daemon")
{
    struct PathCase
    {
        const char *path;
        bool ready;
        int status;
    };
    const auto item = GENERATE(PathCase {"/healthz", false, 200}, PathCase {"/readyz", true, 200},
                               PathCase {"/readyz", false, 503}, PathCase {"/v1/status", true, 200},
                               PathCase {"/metrics", true, 200}, PathCase {"/look", true, 404});
    CAPTURE(item.path, item.ready);
    FixedStatus status;
    status.ready = item.ready;
    entry::OperatorServer listener("127.0.0.1:0", status, status.log);
    listener.start();
    CHECK(fetch(listener, item.path).status == item.status);
}

TEST_CASE("Callers that saturate their listener do not block operators")
{
    FixedStatus status;
    standin::Standin standin(tests::backendSettings(1, 2s));
    const tests::EntryFixture fixture(tests::backendAddresses(standin));
    entry::OperatorServer listener("127.0.0.1:0", status, status.log);
    listener.start();
    std::vector<std::unique_ptr<core::HttpConnection>> callers;
    for (int index = 0; index < 100; ++index) {
        callers.push_back(std::make_unique<core::HttpConnection>(
                Poco::Net::SocketAddress(fixture.address()), 10s));
        callers.back()->send("GET /look HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    for (const char *path : {"/healthz", "/metrics", "/v1/status"})
        CHECK(fetch(listener, path).status == 200);
}

TEST_CASE("Idle operator connections do not block the next operator")
{
    FixedStatus status;
    entry::OperatorServer listener("127.0.0.1:0", status, status.log);
    listener.start();
    core::HttpConnection idle(Poco::Net::SocketAddress(listener.address()), 10s);
    idle.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    Poco::Net::HTTPResponse head;
    idle.receiveHead(head);
    CHECK(fetch(listener, "/healthz").status == 200);
}
