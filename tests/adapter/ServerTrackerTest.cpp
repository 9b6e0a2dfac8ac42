#include "sardinehollow_gateway/application/ServerTracker.h"
#include "adapter/ServicesFixture.h"
#include "platform/PlatformSchema.h"
#include "sardinehollow_core/time/ManualClock.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;
using platform::KeyValue;

namespace {

struct TrackerFixture : private core::ManualClock, public tests::ServicesFixture
{
    TrackerFixture()
        : ServicesFixture(static_cast<const core::ManualClock &>(*this))
    { }

    static KeyValue entry(const std::string &id, const std::string &state = "ready")
    {
        return {"servers/" + id,
                R"({"address":"127.0.0.1:1","info":{"service":"s","version":"v1",)"
                R"("zone":"east-a","slots":6},"status":{"state":")"
                        + state + R"(","seq":1,"coldLeftS":0}})"};
    }

    static KeyValue removal(const std::string &id)
    {
        KeyValue keyValue;
        keyValue.key = "servers/" + id;
        keyValue.isDeleted = true;
        return keyValue;
    }

    bool knows(const std::string &id) { return routing.backends().contains(id); }

    const adapter::PlatformSchema schema;
    gateway::ServerTracker tracker {services, schema, 0ms};
};

} // namespace

TEST_CASE("Servers whose entries expired and were written again within one report stay")
{
    // Guards against losing all servers permanently: the removals of a report were applied after
    // its writes, and so to entries that had been written again.
    TrackerFixture fixture;
    fixture.tracker.onSnapshot(
            {TrackerFixture::entry("a"), TrackerFixture::entry("b"), TrackerFixture::entry("c")});
    fixture.tracker.onStoreRegained();
    fixture.tracker.onChanged({TrackerFixture::removal("a"), TrackerFixture::removal("b"),
                               TrackerFixture::removal("c"), TrackerFixture::entry("a"),
                               TrackerFixture::entry("b")});
    CHECK(fixture.knows("a"));
    CHECK(fixture.knows("b"));
    // The tracker has a reappearance time of 0.
    CHECK_FALSE(fixture.knows("c"));
}

TEST_CASE("The last change of an entry within one report takes effect")
{
    TrackerFixture fixture;
    fixture.tracker.onSnapshot({TrackerFixture::entry("a"), TrackerFixture::entry("b")});
    fixture.tracker.onChanged({TrackerFixture::entry("a", "draining"), TrackerFixture::removal("a"),
                               TrackerFixture::entry("b", "draining")});
    CHECK_FALSE(fixture.knows("a"));
    CHECK(fixture.routing.backends().all().at("b")->server().isDraining);
    fixture.tracker.onSnapshot({});
    CHECK_FALSE(fixture.knows("b"));
}

TEST_CASE("A server whose entry was added and removed within one report is not kept")
{
    // Guards against requests to a server that has stopped: removals were applied only to entries
    // that were known before the report, so the server was never removed.
    TrackerFixture fixture;
    fixture.tracker.onSnapshot({TrackerFixture::entry("a")});
    fixture.tracker.onChanged({TrackerFixture::entry("b"), TrackerFixture::removal("b")});
    CHECK(fixture.knows("a"));
    CHECK_FALSE(fixture.knows("b"));
    fixture.tracker.onChanged({TrackerFixture::removal("a"), TrackerFixture::entry("a"),
                               TrackerFixture::removal("a")});
    CHECK_FALSE(fixture.knows("a"));
}
