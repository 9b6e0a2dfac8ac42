#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_policy/facade/AttemptOutcome.h"
#include "sardinehollow_policy/reasons/RefusalReason.h"

#include <cstdint>
#include <string>

namespace sardinehollow::entry {

/** Result of one attempt to forward a request to a backend server or a peer. */
struct AttemptResult
{
    policy::AttemptOutcome outcome = policy::AttemptOutcome::ConnectFailed;
    policy::RefusalReason reason = policy::RefusalReason::None;
    core::Duration latency {0};
    std::uint64_t responseBytes = 0;
    /** Whether a response was started for the caller, or a resumed one was received. */
    bool responseStarted = false;
    /** Whether the complete response was received, even if the caller has left meanwhile. */
    bool responseComplete = false;
    int status = 0;
    /** Beginning of the response body, for the claim record of a non-idempotent request. */
    std::string recordedBody;
    /** Retry-After of a peer that refused the request; 0 if it sent none. */
    core::Duration retryAfter {0};
};

} // namespace sardinehollow::entry
