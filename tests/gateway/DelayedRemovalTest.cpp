#include "sardinehollow_gateway/application/DelayedRemoval.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;
using gateway::DelayedRemoval;

using Keys = std::vector<std::string>;

TEST_CASE("Entries that expired during an outage are kept for the reappearance time")
{
    // Guards against refusing all requests when the store is back, because all entries had expired.
    DelayedRemoval removals(2s);
    core::Instant now = 100s;
    CHECK(removals.onMissing({"before"}, 1, 1, now) == Keys {"before"});
    removals.onStoreRegained(now);
    now += 500ms;
    CHECK(removals.onMissing({"returns", "stays away"}, 2, 3, now).empty());
    now += 1s;
    removals.onPresent("returns");
    CHECK(removals.takeDue(now).empty());
    now += 600ms;
    CHECK(removals.takeDue(now) == Keys {"stays away"});
    CHECK(removals.takeDue(now).empty());
    CHECK(removals.onMissing({"later", "as well"}, 2, 3, now).size() == 2);
}

TEST_CASE("Few missing entries after only this daemon lost the store are removed at once")
{
    // Guards against requests to servers that left while the daemon could not reach the store.
    DelayedRemoval removals(2s);
    const core::Instant now = 100s;
    removals.onStoreRegained(now);
    CHECK(removals.onMissing({"left"}, 1, 10, now) == Keys {"left"});
    CHECK(removals.takeDue(now + 10s).empty());
}

// After a restore from an older copy, single entries that were written since were taken for gone.
TEST_CASE("Entries that are missing from a restored store are kept for the reappearance time")
{
    DelayedRemoval removals(2s);
    core::Instant now = 100s;
    removals.onStoreRestored(now);
    CHECK(removals.onMissing({"returns", "stays away"}, 2, 20, now).empty());
    now += 1s;
    removals.onPresent("returns");
    now += 1s;
    CHECK(removals.takeDue(now) == Keys {"stays away"});
    CHECK(removals.onMissing({"left"}, 1, 10, now) == Keys {"left"});
}
