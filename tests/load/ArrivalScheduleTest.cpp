#include "sardinehollow_load/schedule/ArrivalSchedule.h"

#include "sardinehollow_core/random/SeededRandom.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sardinehollow;

namespace {

load::Experiment makeExperiment(double factor)
{
    load::Experiment experiment;
    experiment.durationSeconds = 30;
    experiment.callers = 10;
    experiment.kinds = {{"look", "urgent", "GET", "/look", 100.0, std::chrono::seconds(1), 10},
                        {"bulk", "bulk", "GET", "/bulk", 50.0, std::chrono::seconds(1), 10}};
    experiment.surges = {{"bulk", factor, 10.0, 20.0}};
    return experiment;
}

std::size_t countBetween(const std::vector<load::Arrival> &arrivals, std::size_t kind, double from,
                         double to)
{
    return static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(), [&](const load::Arrival &arrival) {
                const double second = std::chrono::duration<double>(arrival.at).count();
                return arrival.kind == kind && second >= from && second < to;
            }));
}

} // namespace

TEST_CASE("The same seed gives the same arrivals, sorted by time")
{
    core::SeededRandom first(7);
    core::SeededRandom second(7);
    const auto left = load::drawArrivals(makeExperiment(10), first);
    const auto right = load::drawArrivals(makeExperiment(10), second);
    REQUIRE(left.size() == right.size());
    for (std::size_t index = 0; index < left.size(); ++index) {
        REQUIRE(left[index].at == right[index].at);
        REQUIRE(left[index].caller == right[index].caller);
        REQUIRE((index == 0 || left[index - 1].at <= left[index].at));
    }
}

TEST_CASE("A surge multiplies the rate of its own work kind and only while it lasts")
{
    const double factor = GENERATE(0.0, 1.0, 2.0, 10.0);
    CAPTURE(factor);
    core::SeededRandom random(7);
    const auto arrivals = load::drawArrivals(makeExperiment(factor), random);
    // The counts are Poisson with a standard deviation below 10% of these means.
    REQUIRE(countBetween(arrivals, 1, 10, 20) == Approx(500.0 * factor).epsilon(0.2).margin(1));
    REQUIRE(countBetween(arrivals, 1, 0, 10) == Approx(500.0).epsilon(0.2));
    REQUIRE(countBetween(arrivals, 0, 10, 20) == Approx(1000.0).epsilon(0.2));
}
