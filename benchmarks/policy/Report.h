#pragma once

#include "BenchResult.h"

#include <cstdint>
#include <ostream>
#include <vector>

namespace sardinehollow::bench {

/** Prints one table for each deployment and scenario. */
void printTables(const std::vector<BenchResult> &results, std::ostream &output);

/** Writes all results as one JSON object. */
void writeJson(const std::vector<BenchResult> &results, std::uint64_t seed, std::ostream &output);

} // namespace sardinehollow::bench
