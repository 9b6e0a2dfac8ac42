#pragma once

#include "sardinehollow_load/experiment/Experiment.h"
#include "sardinehollow_load/results/KindResults.h"
#include "sardinehollow_load/results/ViolationCounts.h"

#include <Poco/JSON/Object.h>

#include <vector>

namespace sardinehollow::load {

/** How a run was made, so that it can be repeated. */
struct RunDescription
{
    std::uint64_t seed = 0;
    std::string commit;
    std::string command;
};

/** Builds the JSON result of a run. */
Poco::JSON::Object::Ptr toResult(const Experiment &experiment, const RunDescription &description,
                                 const std::vector<KindResults> &kinds,
                                 const ViolationCounts &violationCounts);

/** Formats a result as a text table. */
std::string resultTable(const Poco::JSON::Object &result);

/** Formats two results side by side, with the ratio of the second to the first. */
std::string comparisonTable(const Poco::JSON::Object &first, const Poco::JSON::Object &second);

} // namespace sardinehollow::load
