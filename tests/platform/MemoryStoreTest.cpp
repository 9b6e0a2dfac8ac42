#include "sardinehollow_standin/store/MemoryStore.h"
#include "sardinehollow_core/time/ManualClock.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace sardinehollow;
using standin::MemoryStore;

TEST_CASE("What is read has the revision at which it was read")
{
    // Guards against a change that a client never sees: it was written after the keys were read and
    // before the revision was, from which the client's watch starts.
    const core::ManualClock clock;
    MemoryStore store(clock, 10);
    std::atomic<bool> isDone {false};
    std::thread writer([&] {
        while (!isDone)
            store.transact({}, {{"key", "value", 0}});
    });
    int mismatches = 0;
    for (int reads = 0; reads < 20'000; ++reads) {
        const MemoryStore::Range range = store.range("key", "");
        // Nothing but this key is written.
        if (!range.entries.empty())
            mismatches += range.entries.front().second.modRevision == range.revision ? 0 : 1;
    }
    isDone = true;
    writer.join();
    CHECK(mismatches == 0);
}
