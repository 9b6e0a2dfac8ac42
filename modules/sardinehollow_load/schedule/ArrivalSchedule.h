#pragma once

#include "sardinehollow_core/random/RandomSource.h"
#include "sardinehollow_load/experiment/Experiment.h"
#include "sardinehollow_load/schedule/Arrival.h"

#include <vector>

namespace sardinehollow::load {

/** Draws Poisson arrivals of all work kinds, including their surges, sorted by time. */
std::vector<Arrival> drawArrivals(const Experiment &experiment, core::RandomSource &random);

} // namespace sardinehollow::load
