#pragma once

#include <map>
#include <string>

namespace sardinehollow::policy {

/** Fraction of the callers, 0 to 1, that each shift currently moves, by its name; default 0. */
using ShiftFractions = std::map<std::string, double>;

} // namespace sardinehollow::policy
