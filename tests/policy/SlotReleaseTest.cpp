#include "sardinehollow_policy/pool/ServerSlots.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

constexpr core::Instant takeOverTime = 10s;

struct Fixture
{
    // Ownership moves from the peer vm1 to the local daemon vm2 at takeOverTime.
    void takeOver(bool formerOwnerLeaving)
    {
        slots.setOwner("vm1", false, false);
        slots.advance(takeOverTime);
        slots.setOwner("vm2", true, formerOwnerLeaving);
        slots.advance(takeOverTime);
    }

    policy::PolicySettings settings;
    policy::ServerSlots slots {settings, {"b1", "127.0.0.1:9001", "east-a", 2}};
};

} // namespace

TEST_CASE("Only a release by the previous owner ends the hold-off of the new owner")
{
    struct Row
    {
        const char *failure;
        const char *releasedBy;
        bool admits;
    };
    const auto row = GENERATE(values<Row>({
            {"the hold-off runs to its end although the leaving owner released the slots", "vm1",
             true},
            {"a release by a daemon that was not the owner is accepted", "vm3", false},
            {"the hold-off ends without a release", nullptr, false},
    }));
    CAPTURE(row.failure);
    Fixture fixture;
    fixture.takeOver(true);
    REQUIRE_FALSE(fixture.slots.hasFreeSlot(takeOverTime));
    if (row.releasedBy != nullptr)
        fixture.slots.onOwnershipReleased(row.releasedBy, takeOverTime);
    REQUIRE(fixture.slots.hasFreeSlot(takeOverTime) == row.admits);
    REQUIRE(fixture.slots.hasFreeSlot(takeOverTime + fixture.settings.ownershipHoldOff));
}

TEST_CASE("Requests in flight from the former owner reduce the limit after its release")
{
    Fixture fixture;
    fixture.takeOver(true);
    fixture.slots.setInFlightElsewhere("vm1", 1);
    fixture.slots.onOwnershipReleased("vm1", takeOverTime);
    REQUIRE(fixture.slots.limit(takeOverTime) == 1);
    fixture.slots.setInFlightElsewhere("vm1", 0);
    REQUIRE(fixture.slots.limit(takeOverTime) == 2);
}

TEST_CASE("Requests wait for a release only if the former owner is leaving")
{
    const bool formerOwnerLeaving = GENERATE(true, false);
    Fixture fixture;
    fixture.takeOver(formerOwnerLeaving);
    const core::Duration expected = formerOwnerLeaving ? fixture.settings.releaseTimeout
                                                       : fixture.settings.ownershipHoldOff;
    REQUIRE(fixture.slots.admitsAt() == takeOverTime + expected);
}

TEST_CASE("An owner in its hold-off releases nothing, and a release expires")
{
    Fixture fixture;
    fixture.takeOver(false);
    fixture.slots.setOwner("vm1", false, false);
    REQUIRE_FALSE(fixture.slots.wasRecentlyReleased(takeOverTime));

    const core::Instant admitting = takeOverTime + 10s;
    fixture.slots.setOwner("vm2", true, false);
    fixture.slots.advance(admitting);
    fixture.slots.advance(admitting + fixture.settings.ownershipHoldOff);
    fixture.slots.setOwner("vm1", false, false);
    const core::Instant lost = admitting + fixture.settings.ownershipHoldOff;
    REQUIRE(fixture.slots.wasRecentlyReleased(lost));
    REQUIRE_FALSE(fixture.slots.wasRecentlyReleased(lost + 3 * fixture.settings.ownershipHoldOff));
    // The local daemon owns the server again, so it announces no release.
    fixture.slots.setOwner("vm2", true, false);
    REQUIRE_FALSE(fixture.slots.wasRecentlyReleased(lost));
}

TEST_CASE("A release that arrives before the change of ownership is valid for a short time only")
{
    struct Row
    {
        const char *failure;
        const char *releasedBy;
        core::Duration age;
        bool admits;
    };
    const auto row = GENERATE(values<Row>({
            {"a release before the change of ownership is ignored", "vm1", 10ms, true},
            {"an expired release ends a later hold-off", "vm1", 2s, false},
            {"a release by another daemon is accepted", "vm3", 10ms, false},
    }));
    CAPTURE(row.failure);
    Fixture fixture;
    fixture.slots.setOwner("vm1", false, false);
    fixture.slots.onOwnershipReleased(row.releasedBy, takeOverTime - row.age);
    fixture.takeOver(true);
    REQUIRE(fixture.slots.hasFreeSlot(takeOverTime) == row.admits);
}
