#include "sardinehollow_sharing/follower/StoreFollower.h"
#include "sardinehollow_platform/store/StoreHistory.h"
#include "sardinehollow_sharing/feed/ChangeFeed.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>

using namespace sardinehollow;
using namespace std::chrono_literals;
using platform::KeyValue;
using sharing::FeedFrame;
using sharing::StoreFollower;

namespace {

const core::Duration bound = 4s;
const sharing::SharingTimes times(bound);

FeedFrame frameOf(std::int64_t after, std::int64_t revision, core::Instant currentAt,
                  std::vector<KeyValue> changes = {})
{
    FeedFrame frame;
    frame.requestedAt = currentAt;
    frame.currentAfterRequest = 0s;
    frame.afterRevision = after;
    frame.revision = revision;
    frame.changes = std::make_shared<const std::vector<KeyValue>>(std::move(changes));
    return frame;
}

// A follower of two relays that has read the store at revision 10 and no longer watches it.
struct Following
{
    Following()
        : follower(times)
    {
        follower.onSnapshot(10);
        follower.setRelays({"r1", "r2"});
        for (; follower.isWatchNeeded(now); now += 100ms)
            refresh();
    }

    void refresh()
    {
        follower.onOwnContact(now);
        follower.onFrame("r1", frameOf(10, 10, now));
    }

    core::Instant now = 100s;
    StoreFollower follower;
};

} // namespace

TEST_CASE("A daemon watches the store itself until relays have been up to date for a while")
{
    StoreFollower follower(times);
    follower.setRelays({"r1"});
    CHECK(follower.isWatchNeeded(100s));
    follower.onSnapshot(10);
    follower.onFrame("r1", frameOf(10, 10, 100s));
    CHECK(follower.isWatchNeeded(100s));
    follower.onFrame("r1", frameOf(10, 10, 101s));
    CHECK_FALSE(follower.isWatchNeeded(101s));
    follower.setRelays({});
    CHECK(follower.isWatchNeeded(101s));
}

TEST_CASE("A daemon whose relays lose contact watches the store, unless it cannot reach it either")
{
    Following world;
    const bool isStoreReachable = GENERATE(true, false);
    const core::Instant last = world.now;
    for (; world.now < last + 10s; world.now += 100ms) {
        if (isStoreReachable)
            world.follower.onOwnContact(world.now);
        // A relay that lost the store goes on sending frames.
        world.follower.onFrame("r1", frameOf(10, 10, last));
        const bool isWatching = world.follower.isWatchNeeded(world.now);
        if (isStoreReachable && world.now - last > times.maximumAge + 100ms)
            CHECK(isWatching);
    }
    CHECK(world.follower.isWatchNeeded(world.now) == isStoreReachable);
    CHECK(world.follower.isStoreLost(world.now) == !isStoreReachable);
}

TEST_CASE("One relay that is up to date is enough")
{
    Following world;
    for (int step = 0; step < 100; ++step) {
        world.now += 100ms;
        world.follower.onFrame("r2", frameOf(10, 10, world.now));
        CHECK_FALSE(world.follower.isWatchNeeded(world.now));
    }
}

TEST_CASE("Frames that do not fit are not applied and prove no contact")
{
    struct Row
    {
        const char *name;
        const char *relay;
        FeedFrame frame;
        bool hasGap;
    };
    FeedFrame lost = frameOf(10, 12, 200s);
    lost.isHistoryLost = true;
    const Row row = GENERATE_REF(values<Row>({
            {"a gap", "r1", frameOf(11, 12, 200s, {{"a", "1", 12}}), true},
            {"a lost history", "r1", lost, false},
            {"a daemon that is no relay", "r9", frameOf(10, 12, 200s, {{"a", "1", 12}}), false},
    }));
    INFO(row.name);
    Following world;
    const StoreFollower::Update update = world.follower.onFrame(row.relay, row.frame);
    CHECK(update.hasGap == row.hasGap);
    CHECK(update.changes.empty());
    CHECK(world.follower.revision() == 10);
    world.follower.onOwnContact(200s);
    CHECK(world.follower.isWatchNeeded(200s));
}

TEST_CASE("A change that arrives from several sources is applied once")
{
    Following world;
    const std::vector<KeyValue> changes {{"a", "1", 11}, {"b", "1", 12}};
    CHECK(world.follower.onFrame("r1", frameOf(10, 11, world.now, {changes[0]})).changes.size()
          == 1);
    CHECK(world.follower.onFrame("r2", frameOf(10, 12, world.now, changes)).changes.size() == 1);
    CHECK(world.follower.onWatched(changes, 12).empty());
    CHECK_FALSE(world.follower.onSnapshot(11));
    CHECK(world.follower.revision() == 12);
}

TEST_CASE("The first contents come from a relay, and only they are replaced by it")
{
    StoreFollower follower(times);
    follower.setRelays({"r1", "r2"});
    CHECK(follower.onFrame("r1", frameOf(0, 12, 100s, {{"a", "1", 12}})).changes.empty());
    FeedFrame contents = frameOf(0, 12, 100s, {{"a", "1", 4}, {"b", "1", 12}});
    contents.isSnapshot = true;
    const StoreFollower::Update update = follower.onFrame("r1", contents);
    CHECK(update.isSnapshot);
    CHECK(update.changes.size() == 2);
    CHECK(follower.revision() == 12);
    CHECK_FALSE(follower.isWatchNeeded(100s));
    contents.revision = 20;
    CHECK(follower.onFrame("r2", contents).changes.empty());
    CHECK(follower.revision() == 12);
}

TEST_CASE("Contents that may be out of date prove no contact")
{
    // Guards against followers of a relay that has read the store, but not watched it yet.
    Following world;
    FeedFrame frame = frameOf(10, 10, 200s);
    frame.currentAfterRequest.reset();
    world.follower.onFrame("r1", frame);
    world.follower.onOwnContact(200s);
    CHECK(world.follower.isWatchNeeded(200s));
}

TEST_CASE("A relay's outage of the store is told to its followers once")
{
    Following world;
    FeedFrame frame = frameOf(10, 10, world.now);
    CHECK_FALSE(world.follower.onFrame("r1", frame).hasRegained);
    frame.recoveries = 1;
    CHECK(world.follower.onFrame("r1", frame).hasRegained);
    CHECK_FALSE(world.follower.onFrame("r1", frame).hasRegained);
}

TEST_CASE("With any loss, delay and order of messages, a follower is complete and not too old")
{
    // Plays two relays and a follower in steps of 100 ms. Each relay watches a store that changes
    // at any time, with the pause of its watch; it may lose the store, freeze or be cut off from
    // the follower. The follower's own watch reads the store one step after it was started.
    REQUIRE(rc::check([] {
        struct Relay
        {
            std::string name;
            sharing::ChangeFeed feed {times};
            std::int64_t revision = 1;
            core::Instant polledAt {0};
            bool hasStore = true;
            bool isReachable = true;
            std::deque<std::pair<core::Instant, FeedFrame>> frames = {};
        };
        const auto step = 100ms;
        core::Instant now = 100s;
        std::vector<KeyValue> store {{"key0", "", 1}};
        std::vector<core::Instant> changedAt {now};
        StoreFollower follower(times);
        std::set<std::int64_t> applied {1};
        follower.onSnapshot(1);
        std::array<Relay, 2> relays {Relay {"r1"}, Relay {"r2"}};
        for (Relay &relay : relays)
            relay.feed.reset(1);
        follower.setRelays({"r1", "r2"});
        const auto changesAfter = [&](std::int64_t revision) {
            return std::vector<KeyValue>(store.begin() + revision, store.end());
        };
        const auto apply = [&](const std::vector<KeyValue> &changes) {
            for (const KeyValue &change : changes)
                RC_ASSERT(applied.insert(change.modRevision).second);
        };
        bool wasWatching = true;
        const auto one = [](int size) { return *rc::gen::inRange(0, size) == 0; };
        for (int index = 0; index < 300; ++index, now += step) {
            if (one(5)) {
                const auto revision = static_cast<std::int64_t>(store.size()) + 1;
                store.push_back({"key" + std::to_string(revision), "", revision});
                changedAt.push_back(now);
            }
            follower.onOwnContact(now);
            for (Relay &relay : relays) {
                if (one(40))
                    relay.hasStore = !relay.hasStore;
                if (one(40))
                    relay.isReachable = !relay.isReachable;
                const auto latest = static_cast<std::int64_t>(store.size());
                // The watch may die without a sign while other calls are answered.
                if (relay.hasStore && now - relay.polledAt >= times.watchPause) {
                    relay.feed.append(changesAfter(relay.revision), latest);
                    relay.revision = latest;
                    relay.polledAt = now;
                    relay.feed.setCurrentAt(now);
                }
                if (relay.isReachable && index % 5 == 0)
                    relay.feed.onFollow(relay.name, follower.revision(), now - 50ms, now);
                for (auto &[vm, frame] : relay.feed.takeFrames(now)) {
                    if (relay.isReachable && !one(10))
                        relay.frames.emplace_back(now + *rc::gen::inRange(0, 30) * step, frame);
                }
                for (auto &[arrivesAt, frame] : relay.frames) {
                    if (arrivesAt != now)
                        continue;
                    apply(follower.onFrame(relay.name, frame).changes);
                }
            }
            const bool isWatching = follower.isWatchNeeded(now);
            if (isWatching && wasWatching)
                apply(follower.onWatched(changesAfter(follower.revision()),
                                         static_cast<std::int64_t>(store.size())));
            wasWatching = isWatching;
            // Complete up to the revision, and no change unknown for longer than the bound.
            RC_ASSERT(applied.size() == static_cast<std::size_t>(follower.revision()));
            const auto known = static_cast<std::size_t>(follower.revision());
            if (known < changedAt.size())
                RC_ASSERT(now - changedAt[known] <= bound);
        }
    }));
}

// CONFIG: changes after a restore are no complete list of what differs from earlier contents.
TEST_CASE("After a restore of the store, a follower takes only all contents")
{
    Following following;
    const std::int64_t restored = platform::toRevision(1, 5);
    const KeyValue key {"op/config", "v", restored};
    FeedFrame frame = frameOf(10, restored, following.now, {key});
    CHECK(following.follower.onFrame("r1", frame).changes.empty());
    CHECK(following.follower.revision() == 10);
    frame.isSnapshot = true;
    const StoreFollower::Update update = following.follower.onFrame("r1", frame);
    CHECK(update.isSnapshot);
    CHECK(update.isRestored);
    REQUIRE(update.changes.size() == 1);
    CHECK(update.changes.front().key == key.key);
    CHECK(following.follower.revision() == restored);
    // Another relay that has not noticed yet.
    const KeyValue late {"op/config", "old", 11};
    CHECK(following.follower.onFrame("r2", frameOf(10, 11, following.now, {late})).changes.empty());
    CHECK(following.follower.revision() == restored);
}
