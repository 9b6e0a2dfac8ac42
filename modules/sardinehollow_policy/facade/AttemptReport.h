#pragma once

#include "sardinehollow_core/identifiers/RequestId.h"
#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_policy/facade/AttemptOutcome.h"

#include <cstdint>

namespace sardinehollow::policy {

/** Result of one attempt to run a dispatched or forwarded request. */
struct AttemptReport
{
    core::RequestId id;
    AttemptOutcome outcome = AttemptOutcome::Completed;
    core::Instant now {0};
    /** Time from dispatch to the end of the response. */
    core::Duration latency {0};
    std::uint64_t responseBytes = 0;
    /** Whether response bytes have been sent to the caller, which rules out a retry. */
    bool responseStarted = false;
    /** Whether a peer refused the forwarded request before selecting a backend server for it. */
    bool refusedByPeer = false;
    /** Decision::attempt of the attempt that ended; 0 means the latest attempt. */
    std::uint32_t attempt = 0;
};

} // namespace sardinehollow::policy
