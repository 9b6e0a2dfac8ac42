#pragma once

#include "sardinehollow_load/experiment/FaultAction.h"

#include <string>
#include <vector>

namespace sardinehollow::load {

/** A fault or an operator action at a given time of an experiment. */
struct ScheduledFault
{
    /** Time from the start of the run in seconds. */
    double atSecond = 0.0;
    FaultAction action = FaultAction::Standin;
    /**
     * Target of a signal: a VM, or a failure domain or region for all daemons in it. For a drain,
     * the name of what is drained.
     */
    std::string target;
    /** Signal to send: TERM, KILL, STOP or CONT (Signal). */
    std::string signal;
    /** JSON document for POST /faults of the stand-in (Standin). */
    std::string switches;
    /** Kind of the drain's target: vm, backend-server, failure-domain or region (Drain). */
    std::string drainTarget;
    /** Whether to remove the drain or shift instead of adding it. */
    bool undo = false;
    /** Region from which a shift moves callers (Shift). */
    std::string fromRegion;
    /** Fraction of the region's callers to move, in [0, 1] (Shift). */
    double fraction = 0.0;
    /** Destinations with their caps (Shift). */
    std::vector<std::string> destinations;
};

} // namespace sardinehollow::load
