#include "sardinehollow_gateway/application/DelayedRemoval.h"
#include "sardinehollow_gateway/logging/LogLine.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;
using gateway::DelayedRemoval;

TEST_CASE("An entry that lapsed during an outage may come back for a while")
{
    // Guards against refusing everything on the store's return because all entries had lapsed.
    DelayedRemoval removals(2s);
    core::Instant now = 100s;
    CHECK(removals.onMissing("before", now));
    removals.onStoreRegained(now);
    now += 500ms;
    CHECK_FALSE(removals.onMissing("returns", now));
    CHECK_FALSE(removals.onMissing("stays away", now));
    now += 1s;
    removals.keep("returns");
    CHECK(removals.takeDue(now).empty());
    now += 600ms;
    CHECK(removals.takeDue(now) == std::vector<std::string> {"stays away"});
    CHECK(removals.takeDue(now).empty());
    CHECK(removals.onMissing("later", now));
}

TEST_CASE("A log line stays one JSON object whatever a caller sends")
{
    const gateway::LogLine line = gateway::LogLine("request")
                                          .text("path", "/a\"b\\c\n\x80")
                                          .number("status", 503)
                                          .milliseconds("ms", 1500ms);
    CHECK(line.fields() == R"({"event":"request","path":"/a?b?c??","status":503,"ms":1500)");
}
