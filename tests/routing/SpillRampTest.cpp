#include "sardinehollow_routing/selection/SpillRamp.h"
#include "routing/RoutingWorld.h"

#include "sardinehollow_core/random/SeededRandom.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t windowCount = 8;
constexpr core::Duration windowLength = 2s;

/** Requests of a region by the window in which they arrived, and how many of them spilled. */
struct Windows
{
    std::array<double, windowCount> sent {};
    std::array<double, windowCount> spilled {};

    double share(std::size_t index) const { return spilled[index] / sent[index]; }
};

/** Simulates the daemons of a region whose servers can serve only a part of its requests. */
class Region
{
public:
    Region(std::uint64_t seed, double nearCapacity)
        : m_random(seed)
        , m_nearCapacity(nearCapacity)
    { }

    /** Simulates one daemon with the given number of requests per second. */
    void simulate(double requestsPerSecond, Windows &windows)
    {
        routing::SpillRamp ramp;
        const core::Instant start {1h};
        double seconds = 0;
        while (true) {
            seconds -= std::log(std::max(unit(), 1e-12)) / requestsPerSecond;
            const auto elapsed = std::chrono::duration_cast<core::Duration>(
                    std::chrono::duration<double>(seconds));
            const auto window = static_cast<std::size_t>(elapsed / windowLength);
            if (window >= windowCount)
                return;
            request(ramp, start + elapsed, elapsed, window, windows);
        }
    }

private:
    double unit() { return static_cast<double>(m_random.next() >> 11) * 0x1p-53; }

    void request(routing::SpillRamp &ramp, core::Instant now, core::Duration elapsed,
                 std::size_t window, Windows &windows)
    {
        const double level = ramp.level(now);
        const bool prefersFar = unit() < level && ramp.maySpillWithinLevel(now);
        // The near servers are idle at first and have capacity for every request.
        const double room = elapsed < 600ms ? 1.0 : m_nearCapacity / (1 - level);
        const bool hasRoom = unit() < room;
        if (!prefersFar)
            ramp.recordCapacity(hasRoom, now);
        if (!prefersFar && !hasRoom && !ramp.maySpillBeyondLevel())
            return;
        const bool hasSpilled = prefersFar || !hasRoom;
        ramp.recordRequest(hasSpilled, now);
        windows.sent[window] += 1;
        windows.spilled[window] += hasSpilled ? 1 : 0;
    }

    core::SeededRandom m_random;
    const double m_nearCapacity;
};

} // namespace

TEST_CASE("The reason of a refusal tells whether the other region had capacity")
{
    // Guards against the same reason in both cases, which hid from the log why an idle server got
    // no requests.
    tests::RoutingWorld world;
    routing::BackendState &near = world.add("near", "east-a");
    routing::BackendState &far = world.add("far", "west-a");
    // Settles with no request spilled, so that hardly any may spill afterwards.
    for (int count = 0; count < 100; ++count) {
        REQUIRE(world.choose(17).server);
        world.now += 30ms;
    }
    const auto reasonOfFirstRefusal = [&world] {
        for (int count = 0; count < 50; ++count) {
            const routing::Selection selection = world.choose(17);
            if (!selection.server)
                return selection.reason;
        }
        return routing::SelectionReason::NoServer;
    };
    world.fill(near);
    CHECK(reasonOfFirstRefusal() == routing::SelectionReason::MoveLimited);
    world.fill(far);
    CHECK(reasonOfFirstRefusal() == routing::SelectionReason::Overloaded);
}

TEST_CASE("The share of spilled requests changes slowly at every request rate")
{
    // Guards against an average over a second that lets more requests spill than the level allows
    // when each daemon gets few: the platform's limit of 0.15 in 2 s was exceeded at 2.5 requests
    // per second.
    const double requestsPerSecond = GENERATE(1.0, 2.5, 10.0, 40.0);
    const double nearCapacity = GENERATE(0.1, 0.25, 0.5, 0.8);
    const std::uint64_t seed = GENERATE(range(1, 6));
    CAPTURE(requestsPerSecond, nearCapacity, seed);
    Windows windows;
    Region region(seed, nearCapacity);
    constexpr double regionRate = 1600;
    for (double rate = 0; rate < regionRate; rate += requestsPerSecond)
        region.simulate(requestsPerSecond, windows);
    for (std::size_t window = 1; window < windowCount; ++window) {
        CAPTURE(window, windows.share(window - 1), windows.share(window));
        CHECK(std::abs(windows.share(window) - windows.share(window - 1)) <= 0.15);
    }
}
