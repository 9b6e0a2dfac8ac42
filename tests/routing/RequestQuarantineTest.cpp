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

    /** A server dies with the request in flight. */
    void crash(const std::string &id, std::int64_t startedAt = 1)
    {
        const routing::BackendStatePtr server = makeServer(id, startedAt);
        quarantine.onLost(request, server, now);
        server->setGone(true);
        quarantine.advance(now);
    }

    bool isQuarantined() const { return quarantine.contains(request, now); }
};

} // namespace

TEST_CASE("A request that was in flight on two servers as they died is quarantined for a while")
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

TEST_CASE("A server that starts again under its id and dies again counts twice")
{
    World world;
    world.crash("s1", 1);
    world.now += 5s;
    world.crash("s1", 2);
    CHECK(world.isQuarantined());
}

TEST_CASE("Only deaths of servers speak against a request")
{
    struct InnocentCase
    {
        const char *failure;
        bool isUnreachableAfter;
        bool isGoneLate;
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
        world.quarantine.onLost(request, servers.back(), world.now);
        if (item.isUnreachableAfter)
            servers.back()->onUnreachable(world.now);
    }
    if (item.isAnswered)
        world.quarantine.onAnswered(request);
    world.quarantine.advance(world.now);
    world.now += 20s;
    for (const routing::BackendStatePtr &server : servers)
        server->setGone(item.isGoneLate);
    world.quarantine.advance(world.now);
    CHECK_FALSE(world.isQuarantined());
}

TEST_CASE("A refused connection after the break confirms that the server died")
{
    World world;
    for (const std::string id : {"s1", "s2"}) {
        const routing::BackendStatePtr server = makeServer(id);
        world.quarantine.onLost(request, server, world.now);
        world.now += 200ms;
        server->onUnreachable(world.now);
        world.quarantine.advance(world.now);
    }
    CHECK(world.isQuarantined());
}

TEST_CASE("Daemons that saw one death each quarantine the request together")
{
    World one;
    World other;
    one.crash("s1");
    other.crash("s2");
    CHECK_FALSE(other.isQuarantined());
    other.quarantine.setPeerReports("one", one.quarantine.reports(), other.now);
    const std::vector<std::uint64_t> found = other.quarantine.advance(other.now);
    CHECK(found == std::vector<std::uint64_t> {request});
    CHECK(other.isQuarantined());
    // An entry that is read again, for example after an outage of the store, starts nothing anew.
    other.now += 61s;
    other.quarantine.setPeerReports("one", one.quarantine.reports(), other.now);
    other.crash("s3");
    CHECK_FALSE(other.isQuarantined());
}

TEST_CASE("The same death seen by two daemons counts once")
{
    World one;
    World other;
    one.crash("s1");
    other.crash("s1");
    other.quarantine.setPeerReports("one", one.quarantine.reports(), other.now);
    other.quarantine.advance(other.now);
    CHECK_FALSE(other.isQuarantined());
}

TEST_CASE("What is kept of crashes is bounded")
{
    World world;
    const routing::BackendStatePtr server = makeServer("s1");
    for (std::uint64_t number = 0; number < 10'000; ++number)
        world.quarantine.onLost(number, server, world.now);
    server->setGone(true);
    world.quarantine.advance(world.now);
    CHECK(world.quarantine.reports().size() <= 64);
}
