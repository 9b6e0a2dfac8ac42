#include "sardinehollow_core/time/TokenBucket.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

TEST_CASE("A token bucket refills at its rate up to its capacity")
{
    core::TokenBucket bucket(2, 3);
    core::Instant now = 10s;
    CHECK(bucket.take(now));
    CHECK(bucket.take(now));
    CHECK(bucket.take(now));
    CHECK_FALSE(bucket.take(now));
    now += 500ms;
    CHECK(bucket.take(now));
    CHECK_FALSE(bucket.take(now));
    now += 1h;
    int taken = 0;
    while (bucket.take(now))
        ++taken;
    CHECK(taken == 3);
}
