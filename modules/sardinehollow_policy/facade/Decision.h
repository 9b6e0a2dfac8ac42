#pragma once

#include "sardinehollow_core/identifiers/RequestId.h"
#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_policy/facade/DecisionKind.h"
#include "sardinehollow_policy/reasons/RefusalReason.h"

#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** What the daemon has to do next with one request. */
struct Decision
{
    core::RequestId id;
    DecisionKind kind = DecisionKind::Hold;
    /** Name of the backend server (Dispatch). */
    std::string backendServer;
    /** "IP:port" of the backend server (Dispatch) or of the peer's forward listener (Forward). */
    std::string address;
    /** Name of the VM of the peer (Forward). */
    std::string peer;
    RefusalReason reason = RefusalReason::None;
    /** Time after which the caller may retry (Refuse, Finish). */
    core::Duration retryAfter {0};
    /** Number of the attempt that a Dispatch or Forward starts; the first one is 1. */
    std::uint32_t attempt = 0;
    /**
     * Whether an attempt may have run (Refuse, Finish). Such a request must not be reported to the
     * caller as not run.
     */
    bool mayHaveRun = false;
};

} // namespace sardinehollow::policy
