#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::bench {

/** Load and faults of a simulated deployment, in virtual time. */
struct Scenario
{
    struct Surge
    {
        core::Instant from {0};
        core::Instant to {0};
        std::size_t kind = 0;
        double factor = 1.0;
    };

    std::string name;
    std::vector<Surge> surges;
    bool loseRegion = false;
    bool drainRegion = false;
    /** Delay of every load report. */
    core::Duration reportLag {0};
    /** Of every three servers, one reports full use and one slot, one no use and 1,000 slots. */
    bool falseReports = false;
    /** One server in eight runs five times as slow; one in sixteen crashes and returns cold. */
    bool faultyServers = false;
    /** Fraction of the runs whose response is lost because the connection breaks after the run. */
    double lostResponses = 0.0;
    /** Every fourth server leaves, one after another. */
    bool rollingLeave = false;
    /** Time for which one daemon is paused; 0 for no pause. */
    core::Duration pause {0};
    bool loseDaemon = false;
    /** A caller repeatedly sends a request that crashes each server that runs it. */
    bool crashingRequest = false;

    /** Requests that arrive in this window are measured. */
    core::Instant measureFrom = std::chrono::seconds(8);
    core::Instant measureTo = std::chrono::seconds(16);
    /** No requests arrive after this time. */
    core::Instant arrivalsUntil = std::chrono::seconds(24);
    /** Late enough for the longest deadline of a measured request to have passed. */
    core::Instant end = std::chrono::seconds(78);
};

/** Returns all scenarios in the order in which they are reported. */
std::vector<Scenario> makeScenarios();

} // namespace sardinehollow::bench
