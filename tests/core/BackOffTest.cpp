#include "sardinehollow_core/time/BackOff.h"
#include "sardinehollow_core/random/SeededRandom.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

TEST_CASE("Back-off delays double up to the maximum, vary in their upper half and restart on reset")
{
    core::SeededRandom random(7);
    core::BackOff backOff(random, 100ms, 1s);
    const auto limits = {100ms, 200ms, 400ms, 800ms, 1000ms, 1000ms};
    for (const auto limit : limits) {
        const core::Duration wait = backOff.next();
        CHECK(wait >= limit / 2);
        CHECK(wait <= limit);
    }
    backOff.reset();
    CHECK(backOff.next() <= 100ms);
}
