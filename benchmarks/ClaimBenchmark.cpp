#include "sardinehollow_daemon/claims/StoreClaimJournal.h"
#include "sardinehollow_peer/claims/ClaimService.h"
#include "support/FakeStore.h"

#include <chrono>
#include <cstdio>
#include <string>

// Compares the claims and store writes per second of the group commit with those of one write per
// begin and finish, in virtual time with a store that limits its rate of writes. Also measures the
// work and store calls with which a new owner loads the claim journal at a take-over.

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration storeLatency = 5ms;
constexpr int writesPerSecond = 300;
constexpr core::Duration runTime = 10s;

struct Outcome
{
    int granted = 0;
    int writes = 0;
    core::Duration totalWait {0};
};

peer::ClaimCall makeCall(peer::ClaimOperation operation, std::uint64_t number, core::Instant now)
{
    peer::ClaimCall call;
    call.operation = operation;
    call.id = {"east-a-1", 1, number};
    call.workKind = "post";
    call.key = "east-a~1.caller-key-" + std::to_string(number);
    call.contentDigest = std::string(64, 'd');
    call.deadline = now + 5s;
    if (operation == peer::ClaimOperation::Finish) {
        call.status = 200;
        call.body = std::string(256, 'b');
    }
    return call;
}

peer::ClaimServiceSettings settings()
{
    peer::ClaimServiceSettings settings;
    settings.failureDomain = "east-a";
    settings.holder = "east-a-1/1";
    return settings;
}

/** Makes the service the owner and runs its journal calls, in no virtual time, until it serves. */
void startServing(peer::ClaimService &service, daemon::StoreClaimJournal &journal,
                  core::Instant now)
{
    service.setOwner(true);
    while (!service.isServing())
        (void)service.onJournalResult(journal.call(*service.nextRequest(now)), now);
}

Outcome runGroupCommit(int offeredPerSecond)
{
    tests::FakeStore store;
    daemon::StoreClaimJournal journal(store, "bench", "east-a");
    peer::ClaimService service(settings());
    core::Instant now = 1h;
    startServing(service, journal, now);
    const int writesBefore = store.writes;
    Outcome outcome;
    std::vector<core::Instant> beginTimes {now};
    std::optional<peer::JournalResult> result;
    core::Instant resultAt {0};
    const core::Instant start = now;
    for (; now < start + runTime; now += 1ms) {
        const auto offered
                = static_cast<std::size_t>((now - start) / 1ms * offeredPerSecond / 1000);
        while (beginTimes.size() <= offered) {
            (void)service.handle(makeCall(peer::ClaimOperation::Begin, beginTimes.size(), now),
                                 now);
            beginTimes.push_back(now);
        }
        if (result && now >= resultAt) {
            for (const peer::ClaimResponse &response : service.onJournalResult(*result, now)) {
                if (response.operation != peer::ClaimOperation::Begin)
                    continue;
                ++outcome.granted;
                outcome.totalWait += now - beginTimes.at(response.id.number);
                (void)service.handle(
                        makeCall(peer::ClaimOperation::Finish, response.id.number, now), now);
            }
            result.reset();
        }
        if (const std::optional<peer::JournalRequest> request = service.nextRequest(now)) {
            result = journal.call(*request);
            resultAt = now + storeLatency;
        }
        (void)service.advance(now);
    }
    outcome.writes = store.writes - writesBefore;
    return outcome;
}

/** Models one write for each begin and each finish, in a queue served at the store's write rate. */
Outcome runOneWritePerStep(int offeredPerSecond)
{
    Outcome outcome;
    core::Duration storeAvailableAt {0};
    const core::Duration writeTime = core::Duration(1s) / writesPerSecond;
    const core::Duration queueTimeout = 2s;
    const auto offered = static_cast<int>(runTime / 1s) * offeredPerSecond;
    for (int index = 0; index < offered; ++index) {
        const core::Duration arrival = runTime * index / offered;
        const core::Duration begin = std::max(arrival, storeAvailableAt);
        if (begin - arrival > queueTimeout)
            continue;
        storeAvailableAt = begin + 2 * writeTime;
        if (storeAvailableAt > runTime)
            break;
        ++outcome.granted;
        outcome.writes += 2;
        outcome.totalWait += begin - arrival + storeLatency;
    }
    return outcome;
}

void print(const char *name, int offered, const Outcome &outcome)
{
    const double seconds = std::chrono::duration<double>(runTime).count();
    const double meanWaitMs = std::chrono::duration<double, std::milli>(outcome.totalWait).count()
            / std::max(outcome.granted, 1);
    std::printf("%-20s offered %5d/s  claimed %7.1f/s  store writes %6.1f/s  mean wait %7.1f ms\n",
                name, offered, outcome.granted / seconds, outcome.writes / seconds, meanWaitMs);
}

void measureTakeOver(int claims)
{
    tests::FakeStore store;
    daemon::StoreClaimJournal journal(store, "bench", "east-a");
    const core::Instant now = 1h;
    {
        peer::ClaimService service(settings());
        startServing(service, journal, now);
        core::Instant later = now;
        for (int index = 1; index <= claims; ++index) {
            const auto number = static_cast<std::uint64_t>(index);
            (void)service.handle(makeCall(peer::ClaimOperation::Begin, number, later), later);
            (void)service.handle(makeCall(peer::ClaimOperation::Finish, number, later), later);
            if (index % 500 != 0)
                continue;
            later += 100ms;
            while (const auto request = service.nextRequest(later)) {
                (void)service.onJournalResult(journal.call(*request), later);
                later += 100ms;
            }
        }
    }
    peer::ClaimServiceSettings next = settings();
    next.holder = "east-a-2/1";
    peer::ClaimService service(next);
    store.advance(10s);
    const int callsBefore = store.calls;
    const auto begin = std::chrono::steady_clock::now();
    startServing(service, journal, now + 10s);
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    std::printf("take-over with %6d claims in the journal: %8.2f ms of work, %d store calls\n",
                claims, std::chrono::duration<double, std::milli>(elapsed).count(),
                store.calls - callsBefore);
}

} // namespace

int main()
{
    std::printf("virtual time, store: %d writes/s, %lld ms a call\n", writesPerSecond,
                static_cast<long long>(storeLatency / 1ms));
    for (const int offered : {50, 150, 300, 1000, 5000}) {
        print("group commit", offered, runGroupCommit(offered));
        print("one write per claim", offered, runOneWritePerStep(offered));
    }
    for (const int claims : {1000, 10000, 50000})
        measureTakeOver(claims);
    return 0;
}
