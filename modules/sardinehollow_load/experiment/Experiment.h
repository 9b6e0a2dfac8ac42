#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_load/experiment/LoadKind.h"
#include "sardinehollow_load/experiment/ScheduledFault.h"
#include "sardinehollow_load/experiment/Surge.h"

#include <vector>

namespace sardinehollow::load {

/** A test scenario: the requests to send, surges of their rate, and faults to inject. */
struct Experiment
{
    std::string name;
    std::string deployment;
    double durationSeconds = 0.0;
    /** Number of simulated callers. */
    std::uint32_t callers = 0;
    /** Threads per work kind, which bounds its concurrent requests. */
    std::uint32_t threads = 0;
    std::vector<LoadKind> kinds;
    std::vector<Surge> surges;
    std::vector<ScheduledFault> faults;
};

/** Parses an experiment file; the error message lists every invalid field by JSON pointer. */
core::Result<Experiment> readExperiment(const std::string &text);

} // namespace sardinehollow::load
