#include "sardinehollow_daemon/claims/StoreClaimGate.h"

#include "sardinehollow_core/time/ManualClock.h"
#include "support/FaultyStore.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

using entry::ClaimAction;
using policy::RefusalReason;
using tests::FaultyStore;
using Fault = FaultyStore::Fault;

struct Fixture
{
    core::ManualClock clock;
    tests::FakeStore store;
    FaultyStore firstLink {store};
    FaultyStore secondLink {store};
    std::chrono::seconds wall {1000000};
    /** Called while a gate sleeps. */
    std::function<void()> onSleep = [] {};
    daemon::StoreClaimGate first = makeGate(firstLink, "east-a-1/1");
    daemon::StoreClaimGate second = makeGate(secondLink, "east-a-2/1");

    daemon::StoreClaimGate makeGate(platform::KeyValueStore &link, const std::string &owner)
    {
        const auto sleep = [this](core::Duration duration) {
            clock.advance(duration);
            onSleep();
        };
        return {link, clock, [this] { return wall; }, sleep, "test", owner};
    }

    static entry::ClaimRequest request(const std::string &content = "content")
    {
        entry::ClaimRequest request;
        request.workKind = "post";
        request.key = "key";
        request.contentDigest = content;
        request.retention = 3600s;
        return request;
    }

    /** Begins a claim and stores its number in the request. */
    static ClaimAction begin(daemon::StoreClaimGate &gate, entry::ClaimRequest &request)
    {
        const entry::ClaimAnswer answer = gate.begin(request);
        request.claimNumber = answer.claimNumber;
        return answer.action;
    }
};

} // namespace

TEST_CASE("An unscoped key is claimed correctly under each fault of its store write")
{
    struct Case
    {
        Fault fault;
        ClaimAction begun;
        /** Answer to a repeat once the store works again. */
        ClaimAction repeated;
    };
    const Case item
            = GENERATE(Case {Fault::None, ClaimAction::Proceed, ClaimAction::Unknown},
                       Case {Fault::Down, ClaimAction::Refuse, ClaimAction::Proceed},
                       Case {Fault::LoseReplies, ClaimAction::Proceed, ClaimAction::Unknown},
                       Case {Fault::LoseRequests, ClaimAction::Refuse, ClaimAction::Proceed},
                       Case {Fault::Delay, ClaimAction::Refuse, ClaimAction::Proceed},
                       // Guards against a record that blocks the key although nothing ran.
                       Case {Fault::LoseReplyThenDown, ClaimAction::Refuse, ClaimAction::Proceed});
    CAPTURE(static_cast<int>(item.fault));
    Fixture fixture;
    fixture.firstLink.fault = item.fault;
    entry::ClaimRequest request = Fixture::request();
    REQUIRE(Fixture::begin(fixture.first, request) == item.begun);
    fixture.first.retryPendingUpdates();
    fixture.firstLink.applyDelayed();
    fixture.firstLink.fault = Fault::None;
    fixture.first.retryPendingUpdates();
    entry::ClaimRequest repeat = Fixture::request();
    REQUIRE(Fixture::begin(fixture.second, repeat) == item.repeated);
}

TEST_CASE("A finished unscoped key replays its outcome even if storing it met a fault")
{
    const Fault fault = GENERATE(Fault::None, Fault::Down, Fault::LoseReplies, Fault::LoseRequests,
                                 Fault::Delay, Fault::LoseReplyThenDown);
    CAPTURE(static_cast<int>(fault));
    Fixture fixture;
    entry::ClaimRequest request = Fixture::request();
    REQUIRE(Fixture::begin(fixture.first, request) == ClaimAction::Proceed);
    fixture.firstLink.fault = fault;
    fixture.first.finish(request, 201, "made");
    fixture.firstLink.applyDelayed();
    fixture.firstLink.fault = Fault::None;
    fixture.first.retryPendingUpdates();
    const entry::ClaimAnswer replay = fixture.second.begin(Fixture::request());
    REQUIRE(replay.action == ClaimAction::Replay);
    REQUIRE(replay.status == 201);
    REQUIRE(replay.body == "made");
    REQUIRE(fixture.second.begin(Fixture::request("other")).reason == RefusalReason::KeyReused);
    REQUIRE(fixture.first.pendingUpdateCount() == 0);
}

TEST_CASE("A repeat that arrives before the outcome is stored gets the outcome")
{
    // Guards against the answer key-in-progress to a caller that retries at once at another daemon.
    struct Case
    {
        const char *name;
        bool finishes;
        core::Duration untilDeadline;
        ClaimAction repeated;
    };
    const Case item
            = GENERATE(Case {"the outcome is about to be written", true, 1s, ClaimAction::Replay},
                       Case {"the run goes on", false, 1s, ClaimAction::Unknown},
                       Case {"the repeat cannot wait", true, 5ms, ClaimAction::Unknown});
    CAPTURE(item.name);
    Fixture fixture;
    entry::ClaimRequest request = Fixture::request();
    REQUIRE(Fixture::begin(fixture.first, request) == ClaimAction::Proceed);
    fixture.onSleep = [&] {
        if (item.finishes)
            fixture.first.finish(request, 201, "made");
    };
    entry::ClaimRequest repeat = Fixture::request();
    repeat.deadline = fixture.clock.now() + item.untilDeadline;
    const entry::ClaimAnswer answer = fixture.second.begin(repeat);
    CHECK(answer.action == item.repeated);
    if (item.repeated == ClaimAction::Unknown)
        CHECK(answer.reason == RefusalReason::KeyInProgress);
    CHECK(fixture.clock.now() < repeat.deadline);
}

TEST_CASE("A repeat that arrives while the claim is being released runs")
{
    // Guards against refusing it as if the store were unreachable.
    Fixture fixture;
    entry::ClaimRequest request = Fixture::request();
    REQUIRE(Fixture::begin(fixture.first, request) == ClaimAction::Proceed);
    fixture.onSleep = [&] { fixture.first.release(request); };
    entry::ClaimRequest repeat = Fixture::request();
    repeat.deadline = fixture.clock.now() + 1s;
    CHECK(Fixture::begin(fixture.second, repeat) == ClaimAction::Proceed);
}

TEST_CASE("The late end of an earlier claim leaves a newer claim alone")
{
    // A release without a check of the claim would delete the newer one, and its key could run
    // twice.
    const bool finishes = GENERATE(false, true);
    CAPTURE(finishes);
    Fixture fixture;
    entry::ClaimRequest earlier = Fixture::request();
    REQUIRE(Fixture::begin(fixture.first, earlier) == ClaimAction::Proceed);
    fixture.first.release(earlier);
    entry::ClaimRequest newer = Fixture::request();
    REQUIRE(Fixture::begin(fixture.second, newer) == ClaimAction::Proceed);
    if (finishes)
        fixture.first.finish(earlier, 200, "old");
    else
        fixture.first.release(earlier);
    entry::ClaimRequest repeat = Fixture::request();
    REQUIRE(fixture.first.begin(repeat).reason == RefusalReason::KeyInProgress);
}

TEST_CASE("A finished unscoped key is not released")
{
    Fixture fixture;
    entry::ClaimRequest request = Fixture::request();
    REQUIRE(Fixture::begin(fixture.first, request) == ClaimAction::Proceed);
    fixture.first.finish(request, 200, "made");
    fixture.first.release(request);
    REQUIRE(fixture.second.begin(Fixture::request()).action == ClaimAction::Replay);
}

TEST_CASE("Unscoped records are kept for the retention and then swept")
{
    const bool finished = GENERATE(false, true);
    CAPTURE(finished);
    Fixture fixture;
    entry::ClaimRequest request = Fixture::request();
    REQUIRE(Fixture::begin(fixture.first, request) == ClaimAction::Proceed);
    if (finished)
        fixture.first.finish(request, 200, "made");
    // All leases expire. Records bound to a lease would expire too, and their keys could run twice.
    fixture.store.advance(1000h);
    fixture.wall += 3600s;
    for (int part = 0; part < 256; ++part)
        fixture.second.sweep();
    const ClaimAction kept = finished ? ClaimAction::Replay : ClaimAction::Unknown;
    REQUIRE(fixture.second.begin(Fixture::request()).action == kept);
    fixture.wall += 1s;
    for (int part = 0; part < 256; ++part)
        fixture.second.sweep();
    REQUIRE(fixture.store.values.empty());
}
