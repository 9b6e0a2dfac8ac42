#include "sardinehollow_routing/budgets/RetryBudget.h"
#include "sardinehollow_routing/entries/EntryDirectory.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

TEST_CASE("All daemons together stay within the retry budget of a service")
{
    // Guards against each daemon spending the whole budget.
    constexpr std::size_t daemons = 11;
    constexpr double ratio = 0.2;
    constexpr double allowance = 62;
    constexpr int requestsEach = 100;
    int taken = 0;
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        routing::RetryBudget budget({ratio, allowance, 10s});
        core::Instant now = 100s;
        for (int index = 0; index < requestsEach; ++index) {
            budget.onRequest("service", daemons);
            now += 100ms;
            while (budget.take("service", now))
                ++taken;
        }
    }
    CHECK(taken > 0);
    CHECK(taken <= ratio * daemons * requestsEach + allowance);
}

TEST_CASE("A caller gets the daemons of its region, and others if there are too few")
{
    routing::EntryDirectory entries;
    entries.put({"e1", "1:1", "east-a", "east"});
    entries.put({"e2", "2:1", "east-b", "east"});
    entries.put({"w1", "3:1", "west-a", "west"});
    CHECK(entries.addressesFor("east", "east-b") == std::vector<std::string> {"2:1", "1:1"});
    entries.remove("e2");
    CHECK(entries.addressesFor("east", "east-a") == std::vector<std::string> {"1:1", "3:1"});
    CHECK(entries.addressesFor("", "").size() == 2);
    // Budgets stay divided by the peak count: removed daemons may still be running.
    CHECK(entries.peakDaemonCount() == 3);
    CHECK(entries.countInRegion("west") == 1);
    CHECK(entries.countInRegion("nowhere") == 1);
}
