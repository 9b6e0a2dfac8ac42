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
    /** Reason of the last refusal; empty if there was none. */
    std::string reason;
    int tries = 0;
    /** Idempotency key; empty for idempotent requests. */
    std::string key;
    /** What came in place of the answer that was due (WrongAnswer). */
    std::string difference;
    /** Whether every try was answered as not run. */
    bool allNotRun = false;
};

} // namespace sardinehollow::load
