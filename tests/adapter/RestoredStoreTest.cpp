#include "adapter/GatewayFixture.h"
#include "sardinehollow_platform/store/StoreHistory.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using tests::GatewayFixture;
using tests::RawServer;

namespace {

constexpr platform::CallPurpose purpose = platform::CallPurpose::Operator;

const std::string routes = GatewayFixture::route("safe", "safe");
const std::string moreRoutes = routes + "," + GatewayFixture::route("added", "safe");

RawServer::Reply complete(const std::string &head)
{
    return {GatewayFixture::completeResponse(head, "body")};
}

/** Writes a key until the store's revision, as the store counts it, is past the given one. */
void writeUntilPast(GatewayFixture &fixture, std::int64_t revision)
{
    while (fixture.standin.platform().store.revision() <= revision)
        fixture.put("other/key", "value");
}

/** Takes the store away and brings it back from an older copy. */
void restore(GatewayFixture &fixture, const standin::MemoryStore::Snapshot &copy)
{
    standin::PlatformState &platform = fixture.standin.platform();
    platform.outage = true;
    platform.store.restore(copy);
    platform.outage = false;
}

} // namespace

// CONFIG: a watch went on after a revision of the store's earlier history, and reported nothing
// until the new history had passed it.
TEST_CASE("A change is in force although the store was restored from an older copy before")
{
    RawServer server(complete);
    GatewayFixture fixture;
    fixture.putConfiguration(1, routes);
    fixture.putServer("one", server);
    const standin::MemoryStore::Snapshot copy = fixture.standin.platform().store.snapshot();
    fixture.putConfiguration(2, moreRoutes);
    writeUntilPast(fixture, 20);
    fixture.start();
    fixture.waitForMetric("configuration_version", 2);
    restore(fixture, copy);
    SECTION("at a revision that the daemon takes for known")
    {
        fixture.putConfiguration(3, routes);
        REQUIRE(fixture.standin.platform().store.revision() < 20);
    }
    SECTION("at a later revision, so that no status tells of the restore")
    {
        fixture.putConfiguration(3, routes);
        writeUntilPast(fixture, 40);
    }
    fixture.waitForMetric("configuration_version", 3);
    CHECK(fixture.call("GET", "/added/x", "id-1").status == 404);
    CHECK(fixture.call("GET", "/safe/x", "id-2").status == 200);
}

// CONFIG: a copy brought an older configuration back until the operator had written again.
TEST_CASE("A restored store takes no confirmed configuration back")
{
    RawServer server(complete);
    GatewayFixture fixture;
    fixture.putConfiguration(1, routes);
    fixture.putServer("one", server);
    const standin::MemoryStore::Snapshot copy = fixture.standin.platform().store.snapshot();
    fixture.putConfiguration(2, moreRoutes);
    fixture.start();
    fixture.waitForMetric("configuration_version", 2);
    restore(fixture, copy);
    // Written after the copy was taken back into use, so that its arrival shows that it was read.
    RawServer later(complete);
    fixture.putServer("two", later);
    fixture.waitForServers(2);
    CHECK(fixture.call("GET", "/added/x", "id-1").status == 200);
}

// The entry of a daemon stayed away: its lease's id had been given to another holder, which the
// daemon's renewals kept alive.
TEST_CASE("A lease that was granted before the store was restored is neither renewed nor revoked")
{
    GatewayFixture fixture;
    adapter::KvStore daemon(fixture.platformAddress);
    adapter::KvStore other(fixture.platformAddress);
    const standin::MemoryStore::Snapshot copy = fixture.standin.platform().store.snapshot();
    const auto lost = daemon.grantLease(purpose, std::chrono::seconds(60));
    REQUIRE(lost);
    restore(fixture, copy);
    const auto held = other.grantLease(purpose, std::chrono::seconds(60));
    REQUIRE(held);
    REQUIRE(held->id == lost->id);
    REQUIRE(other.transact(purpose, {}, {platform::Write {"other", "x", held->id}}));
    SECTION("renewed")
    {
        const auto renewed = daemon.keepAliveLease(purpose, lost->id);
        REQUIRE_FALSE(renewed);
        CHECK(renewed.error().kind == core::ErrorKind::NotFound);
    }
    SECTION("used for a key")
    {
        CHECK_FALSE(daemon.transact(purpose, {}, {platform::Write {"own", "x", lost->id}}));
    }
    SECTION("revoked by a daemon that knows of the restore")
    {
        REQUIRE(daemon.range(purpose, "other", false));
        CHECK(daemon.revokeLease(purpose, lost->id));
        CHECK(other.range(purpose, "other", false)->keyValues.size() == 1);
    }
}

TEST_CASE("Revisions grow when the store is restored from an older copy")
{
    GatewayFixture fixture;
    const standin::MemoryStore::Snapshot copy = fixture.standin.platform().store.snapshot();
    writeUntilPast(fixture, 20);
    const auto before = fixture.store.range(purpose, "", true);
    restore(fixture, copy);
    const auto after = fixture.store.range(purpose, "", true);
    REQUIRE(before);
    REQUIRE(after);
    CHECK(after->revision > before->revision);
    CHECK(platform::historyOf(after->revision) == platform::historyOf(before->revision) + 1);
}
