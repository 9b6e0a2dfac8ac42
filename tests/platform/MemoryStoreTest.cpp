#include "sardinehollow_standin/store/MemoryStore.h"
#include "sardinehollow_core/time/ManualClock.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace sardinehollow;
using standin::MemoryStore;

TEST_CASE("What is read has the revision at which it was read")
{
    // Guards against a change that a client misses: a write between reading the keys and reading
    // the revision is not among the keys, and the client's watch starts after it.
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
        // No other key is written, so both revisions must be equal.
        if (!range.entries.empty())
            mismatches += range.entries.front().second.modRevision == range.revision ? 0 : 1;
    }
    isDone = true;
    writer.join();
    CHECK(mismatches == 0);
}
