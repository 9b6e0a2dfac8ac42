#include "sardinehollow_load/schedule/ArrivalSchedule.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::load {

namespace {

double surgeFactorAt(const Experiment &experiment, const std::string &workKind, double second)
{
    double factor = 1.0;
    for (const Surge &surge : experiment.surges) {
        if (surge.workKind == workKind && second >= surge.startSecond && second < surge.endSecond)
            factor = surge.factor;
    }
    return factor;
}

double maxSurgeFactor(const Experiment &experiment, const std::string &workKind)
{
    double factor = 1.0;
    for (const Surge &surge : experiment.surges) {
        if (surge.workKind == workKind)
            factor = std::max(factor, surge.factor);
    }
    return factor;
}

// Draws a Poisson process of variable rate by thinning (Lewis and Shedler, 1979): draws arrivals at
// the maximum rate and accepts each with the probability current rate / maximum rate.
void drawKindArrivals(const Experiment &experiment, std::size_t index, core::RandomSource &random,
                      std::vector<Arrival> &arrivals)
{
    const LoadKind &kind = experiment.kinds[index];
    const double maxFactor = maxSurgeFactor(experiment, kind.workKind);
    const double rate = kind.ratePerSecond * maxFactor;
    if (rate <= 0)
        return;
    double second = 0.0;
    while (true) {
        second -= std::log(1.0 - random.nextUnit()) / rate;
        if (second >= experiment.durationSeconds)
            return;
        const bool isAccepted
                = random.nextUnit() * maxFactor < surgeFactorAt(experiment, kind.workKind, second);
        if (!isAccepted)
            continue;
        Arrival arrival;
        arrival.at
                = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(second));
        arrival.kind = index;
        arrival.caller = static_cast<std::uint32_t>(random.nextBelow(experiment.callers));
        arrivals.push_back(arrival);
    }
}

} // namespace

std::vector<Arrival> drawArrivals(const Experiment &experiment, core::RandomSource &random)
{
    std::vector<Arrival> arrivals;
    for (std::size_t index = 0; index < experiment.kinds.size(); ++index)
        drawKindArrivals(experiment, index, random, arrivals);
    std::sort(arrivals.begin(), arrivals.end(),
              [](const Arrival &left, const Arrival &right) { return left.at < right.at; });
    std::uint64_t number = 0;
    for (Arrival &arrival : arrivals)
        arrival.number = ++number;
    return arrivals;
}

} // namespace sardinehollow::load
