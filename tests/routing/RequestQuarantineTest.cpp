#include "sardinehollow_routing/quarantine/RequestQuarantine.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t request = 17;

routing::BackendStatePtr makeServer(const std::string &id, std::int64_t startedAt = 1)
{
    routing::BackendServer server;
    server.id = id;
    server.address = "127.0.0.1:1";
    server.slots = 2;
    server.startedAt = startedAt;
    return std::make_shared<routing::BackendState>(server, "east");
}

struct World
{
    core::Instant now {1h};
    routing::RequestQuarantine quarantine;

    /** Simulates a server that crashes with the request in flight. */
    void crash(const std::string &id, std::int64_t startedAt = 1)
    {
        const routing::BackendStatePtr server = makeServer(id, startedAt);
        quarantine.onConnectionLost(request, server, now);
        server->setRemoved(true);
        quarantine.evaluate(now);
    }

    bool isQuarantined() const { return quarantine.contains(request, now); }
};

} // namespace

TEST_CASE(
        "A request that was in flight on two servers when they crashed is quarantined for a minute")
{
    World world;
    world.crash("s1");
    CHECK_FALSE(world.isQuarantined());
    world.now += 5s;
    world.crash("s2");
    CHECK(world.isQuarantined());
    CHECK_FALSE(world.quarantine.contains(request + 1, world.now));
    world.now += 61s;
    CHECK_FALSE(world.isQuarantined());
}

TEST_CASE("Two crashes of a server that restarted under its id count twice")
{
    World world;
    world.crash("s1", 1);
    world.now += 5s;
    world.crash("s1", 2);
    CHECK(world.isQuarantined());
}

TEST_CASE("Only crashes of servers count against a request")
{
    struct InnocentCase
    {
        const char *failure;
        bool isUnreachableAfter;
        bool isRemovedLate;
        bool isAnswered;
    };
    const InnocentCase item
            = GENERATE(InnocentCase {"reset connections quarantine", false, false, false},
                       InnocentCase {"a server that leaves later counts", false, true, false},
                       InnocentCase {"an answer does not clear the request", true, false, true});
    CAPTURE(item.failure);
    World world;
    std::vector<routing::BackendStatePtr> servers;
    for (const std::string id : {"s1", "s2"}) {
        servers.push_back(makeServer(id));
        world.quarantine.onConnectionLost(request, servers.back(), world.now);
        if (item.isUnreachableAfter)
            servers.back()->onConnectFailed(world.now, routing::ConnectFailure::Refused);
    }
    if (item.isAnswered)
        world.quarantine.onRequestCompleted(request);
    world.quarantine.evaluate(world.now);
    world.now += 20s;
    for (const routing::BackendStatePtr &server : servers)
        server->setRemoved(item.isRemovedLate);
    world.quarantine.evaluate(world.now);
    CHECK_FALSE(world.isQuarantined());
}

// BUDGET: only broken connections counted, so that requests whose callers left stayed unsuspected.
TEST_CASE("A request that was given up is suspected if its server crashes soon after")
{
    struct AbandonedCase
    {
        const char *failure;
        bool isRefusing;
        bool isLeaving;
        /** When the server answers another request, after the attempt was given up; 0: never. */
        core::Duration answersAfter;
        bool isQuarantined;
        /** Connections to the server get no answer, and its entry stays. */
        bool isCutOff = false;
    };
    const AbandonedCase item = GENERATE(
            AbandonedCase {"a crash leaves no trace", false, false, 0s, true},
            AbandonedCase {"a refused connection is no sign", true, false, 0s, true},
            AbandonedCase {"a server that cannot be reached counts", false, false, 0s, false, true},
            AbandonedCase {"an answer just before the crash clears", false, false, 500ms, true},
            AbandonedCase {"a server that lived on counts", false, false, 1500ms, false},
            AbandonedCase {"a planned departure counts", false, true, 0s, false});
    CAPTURE(item.failure);
    World world;
    for (const std::string id : {"s1", "s2"}) {
        const routing::BackendStatePtr server = makeServer(id);
        world.quarantine.onAttemptAbandoned(request, server, world.now);
        server->onRequestSent(world.now);
        if (item.answersAfter.count() > 0)
            server->onResponse(100ms, 1, world.now + item.answersAfter);
        world.now += 2s;
        world.quarantine.evaluate(world.now);
        if (item.isLeaving)
            server->onLeaveAnnounced();
        if (item.isRefusing || item.isCutOff)
            server->onConnectFailed(world.now,
                                    item.isRefusing ? routing::ConnectFailure::Refused
                                                    : routing::ConnectFailure::Unreachable);
        else
            server->setRemoved(true);
        world.quarantine.evaluate(world.now);
    }
    CHECK(world.isQuarantined() == item.isQuarantined);
}

TEST_CASE("A failed connection after a broken one confirms that the server crashed")
{
    const auto failure
            = GENERATE(routing::ConnectFailure::Refused, routing::ConnectFailure::Unreachable);
    World world;
    for (const std::string id : {"s1", "s2"}) {
        const routing::BackendStatePtr server = makeServer(id);
        world.quarantine.onConnectionLost(request, server, world.now);
        world.now += 200ms;
        server->onConnectFailed(world.now, failure);
        world.quarantine.evaluate(world.now);
    }
    CHECK(world.isQuarantined());
}

// Guards against a crash that goes unnoticed until the entry of the server leaves the store.
TEST_CASE("A server whose address another one has taken over counts as crashed")
{
    const bool isAbandoned = GENERATE(false, true);
    const bool isReplacedBefore = GENERATE(false, true);
    CAPTURE(isAbandoned, isReplacedBefore);
    World world;
    for (const std::string id : {"s1", "s2"}) {
        const routing::BackendStatePtr server = makeServer(id);
        if (isReplacedBefore)
            server->onReplaced(world.now - 1s);
        if (isAbandoned)
            world.quarantine.onAttemptAbandoned(request, server, world.now);
        else
            world.quarantine.onConnectionLost(request, server, world.now);
        world.now += 1s;
        if (!isReplacedBefore)
            server->onReplaced(world.now);
        world.quarantine.evaluate(world.now);
    }
    CHECK(world.isQuarantined() == !isReplacedBefore);
}

// Guards against refusing a popular request everywhere since it was in flight on servers that
// crashed for another reason.
TEST_CASE("An answer clears a request of the reports of all daemons")
{
    World world;
    const std::vector<routing::CrashReport> reports {{request, "s1@1"}, {request, "s2@1"}};
    const auto read = [&](const std::vector<routing::CrashReport> &entry) {
        world.quarantine.setPeerReports("other", entry, world.now);
        world.quarantine.evaluate(world.now);
    };
    read(reports);
    REQUIRE(world.isQuarantined());
    world.quarantine.onRequestCompleted(request);
    CHECK_FALSE(world.isQuarantined());
    read(reports);
    CHECK_FALSE(world.isQuarantined());
    read({{request, "s3@1"}});
    CHECK_FALSE(world.isQuarantined());
    world.crash("s4");
    CHECK(world.isQuarantined());
}

TEST_CASE("Daemons that saw one crash each quarantine the request together")
{
    World one;
    World other;
    one.crash("s1");
    other.crash("s2");
    CHECK_FALSE(other.isQuarantined());
    other.quarantine.setPeerReports("one", one.quarantine.reports(), other.now);
    const routing::QuarantineFindings found = other.quarantine.evaluate(other.now);
    CHECK(found.quarantined == std::vector<std::uint64_t> {request});
    CHECK(other.isQuarantined());
    // An entry that is read again, such as after an outage of the store, does not renew its
    // reports.
    other.now += 61s;
    other.quarantine.setPeerReports("one", one.quarantine.reports(), other.now);
    other.crash("s3");
    CHECK_FALSE(other.isQuarantined());
}

// BUDGET: what a daemon had seen was dropped with its entry, and after its restart it knew nothing.
TEST_CASE("Crash reports outlive the daemon that made them")
{
    World first;
    World second;
    World other;
    first.crash("s1");
    other.quarantine.setPeerReports("first", first.quarantine.reports(), other.now);
    SECTION("until a second crash is seen")
    {
        // The daemon starts again and writes its entry without reports.
        other.quarantine.setPeerReports("first", {}, other.now);
        other.now += 5s;
        other.crash("s2");
        CHECK(other.isQuarantined());
        other.now += 120s;
        other.quarantine.evaluate(other.now);
        CHECK_FALSE(other.isQuarantined());
    }
    SECTION("for a daemon that starts later")
    {
        second.crash("s2");
        other.quarantine.setPeerReports("second", second.quarantine.reports(), other.now);
        other.quarantine.evaluate(other.now);
        REQUIRE(other.isQuarantined());
        other.quarantine.onRefused(request, other.now);
        World restarted;
        restarted.quarantine.setPeerReports("other", other.quarantine.reports(), restarted.now);
        restarted.quarantine.evaluate(restarted.now);
        CHECK(restarted.isQuarantined());
        // Without a bound, daemons would renew each other's reports for ever.
        restarted.quarantine.onRefused(request, restarted.now);
        CHECK(restarted.quarantine.reports().empty());
        // A report that has expired is no longer published.
        const std::uint64_t published = other.quarantine.reportCount();
        other.now += 61s;
        other.quarantine.evaluate(other.now);
        CHECK(other.quarantine.reports().empty());
        CHECK(other.quarantine.reportCount() > published);
    }
}

TEST_CASE("A crash seen by two daemons counts once")
{
    World one;
    World other;
    one.crash("s1");
    other.crash("s1");
    other.quarantine.setPeerReports("one", one.quarantine.reports(), other.now);
    other.quarantine.evaluate(other.now);
    CHECK_FALSE(other.isQuarantined());
}

TEST_CASE("The number of crash reports is bounded")
{
    World world;
    const routing::BackendStatePtr server = makeServer("s1");
    for (std::uint64_t number = 0; number < 10'000; ++number)
        world.quarantine.onConnectionLost(number, server, world.now);
    server->setRemoved(true);
    world.quarantine.evaluate(world.now);
    CHECK(world.quarantine.reports().size() <= 64);
}
