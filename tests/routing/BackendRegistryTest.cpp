#include "sardinehollow_routing/backends/BackendRegistry.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

// DRAIN: a store that was restored from an older copy put servers back that had announced that they
// leave, or had left.
TEST_CASE("An entry that is older than the known one of a server is ignored")
{
    struct EntryCase
    {
        const char *failure;
        std::int64_t startedAt;
        std::int64_t sequence;
        bool isApplied;
    };
    const EntryCase item
            = GENERATE(EntryCase {"an earlier entry is applied", 100, 4, false},
                       EntryCase {"an earlier incarnation is applied", 50, 9, false},
                       EntryCase {"an entry that is written again is ignored", 100, 5, true},
                       EntryCase {"a later entry is ignored", 100, 6, true},
                       EntryCase {"a later incarnation is ignored", 150, 1, true},
                       EntryCase {"an unknown start counts as earlier", 0, 1, true});
    const bool isRemoved = GENERATE(false, true);
    CAPTURE(item.failure, isRemoved);
    routing::BackendRegistry registry({});
    routing::BackendServer server;
    server.id = "one";
    server.service = "s";
    server.isDraining = true;
    server.startedAt = 100;
    server.sequence = 5;
    registry.put(server, 1s);
    if (isRemoved)
        registry.remove("one");
    server.isDraining = false;
    server.startedAt = item.startedAt;
    server.sequence = item.sequence;
    registry.put(server, 2s);
    const bool isReady = registry.contains("one") && !registry.all().at("one")->server().isDraining;
    CHECK(isReady == item.isApplied);
}
