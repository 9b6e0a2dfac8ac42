#pragma once

#include "sardinehollow_config/model/ShiftDestination.h"

#include <chrono>
#include <string>
#include <vector>

namespace sardinehollow::config {

/** Moves a fraction of a region's callers to other failure domains, in steps and under a cap. */
struct Shift
{
    std::string name;
    std::string fromRegion;
    /** Names of the work kinds that move; empty for all. */
    std::vector<std::string> workKinds;
    /** Share of the callers that move when all steps are done, in [0, 1]. */
    double fraction = 0.0;
    /** Share of the callers that each step adds, in (0, 1]. */
    double stepFraction = 1.0;
    std::chrono::seconds stepInterval {0};
    std::vector<ShiftDestination> destinations;

    bool operator==(const Shift &) const = default;
};

} // namespace sardinehollow::config
