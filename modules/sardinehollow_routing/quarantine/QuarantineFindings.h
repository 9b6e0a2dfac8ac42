#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/quarantine/CrashReport.h"

#include <cstdint>
#include <vector>

namespace sardinehollow::routing {

/** What an evaluation of RequestQuarantine found. */
struct QuarantineFindings
{
    struct Crash
    {
        CrashReport report;
        /** Time from the loss of the request to the confirmation of the crash. */
        core::Duration delay {0};
    };

    /** Crashes that this daemon has confirmed. */
    std::vector<Crash> crashes;
    /** Fingerprints of requests that are newly quarantined. */
    std::vector<std::uint64_t> quarantined;
};

} // namespace sardinehollow::routing
