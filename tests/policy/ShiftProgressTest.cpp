#include "sardinehollow_policy/shift/ShiftProgress.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace sardinehollow::policy;
using namespace std::chrono_literals;

namespace {

using State = DestinationState;

config::Shift makeShift(double fraction, double step)
{
    return {"move", "east", {}, fraction, step, 10s, {{"west-a", 100}, {"west-b", 100}}};
}

} // namespace

TEST_CASE("A shift takes a step only after all destinations were ready for the interval")
{
    struct Row
    {
        State first;
        State second;
        core::Instant time;
        double fraction;
    };
    // The first step was taken at 0 s; both destinations are ready again from 12 s on.
    const auto row = GENERATE(values<Row>({
            {State::Ready, State::Ready, 9s, 0.25},
            {State::Ready, State::Ready, 12s, 0.5},
            {State::Cold, State::Ready, 12s, 0.25},
            {State::Ready, State::Slow, 21s, 0.25},
            {State::Unknown, State::Ready, 21s, 0.25},
            {State::Ready, State::Cold, 22s, 0.5},
    }));
    ShiftProgress progress(makeShift(0.6, 0.25), 0s);
    progress.advance({State::Ready, State::Ready}, 0s);
    if (row.time > 11s)
        progress.advance({row.first, row.second}, 12s);
    progress.advance({State::Ready, State::Ready}, row.time);
    REQUIRE(progress.fraction() == Approx(row.fraction));
}

TEST_CASE("Steps end at the configured fraction and missed ones are not made up for")
{
    ShiftProgress progress(makeShift(0.6, 0.25), 0s);
    REQUIRE(progress.fraction() == 0.0);
    progress.advance({State::Ready}, 0s);
    REQUIRE(progress.fraction() == 0.0);
    std::vector<double> fractions;
    for (core::Instant now = 0s; now < 200s; now += 50s) {
        progress.advance({State::Ready, State::Ready}, now);
        fractions.push_back(progress.fraction());
    }
    REQUIRE(fractions == std::vector<double> {0.25, 0.5, 0.6, 0.6});
    REQUIRE(progress.isDone());
}

TEST_CASE("A changed shift lowers its fraction at once and raises it in steps")
{
    ShiftProgress progress(makeShift(0.5, 0.5), 0s);
    progress.advance({State::Ready, State::Ready}, 0s);
    progress.configure(makeShift(0.1, 0.5));
    REQUIRE(progress.fraction() == Approx(0.1));
    progress.configure(makeShift(1.0, 0.2));
    progress.advance({State::Ready, State::Ready}, 5s);
    REQUIRE(progress.fraction() == Approx(0.1));
    progress.advance({State::Ready, State::Ready}, 10s);
    REQUIRE(progress.fraction() == Approx(0.3));
}

TEST_CASE(
        "A new leader of a shift resumes at the announced fraction, limited to the configured one")
{
    ShiftProgress progress(makeShift(0.5, 0.25), 0s);
    progress.resume(0.4, 1s);
    progress.advance({State::Ready, State::Ready}, 10s);
    REQUIRE(progress.fraction() == Approx(0.4));
    progress.advance({State::Ready, State::Ready}, 11s);
    REQUIRE(progress.fraction() == Approx(0.5));
    progress.resume(0.9, 12s);
    REQUIRE(progress.fraction() == Approx(0.5));
}
