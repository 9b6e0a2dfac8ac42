#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_load/results/RequestOutcome.h"

#include <string>

namespace sardinehollow::load {

/** The result of one request with all its tries. */
struct RequestResult
{
    RequestOutcome outcome = RequestOutcome::NoAnswer;
    /** Time from the intended send time to the end of the answer. */
    core::Duration latency {0};
    /** Reason that the last answer gave; empty if it gave none. */
    std::string reason;
    int tries = 0;
    /** Idempotency key; empty for idempotent requests. */
    std::string key;
    /** How the answer differs from the expected one (WrongAnswer). */
    std::string mismatch;
    /** Whether every try was reported as not run. */
    bool allNotRun = false;
};

} // namespace sardinehollow::load
