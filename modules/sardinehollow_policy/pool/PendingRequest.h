#pragma once

#include "sardinehollow_policy/facade/RequestOffer.h"
#include "sardinehollow_policy/pool/QueueEntry.h"
#include "sardinehollow_policy/pool/RequestPhase.h"
#include "sardinehollow_policy/pool/WorkKindState.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace sardinehollow::policy {

/** An accepted request that is queued, running or forwarded. */
struct PendingRequest
{
    RequestOffer offer;
    std::shared_ptr<WorkKindState> kind;
    RequestPhase phase = RequestPhase::Queued;
    QueueEntry entry;
    /** Name of the backend server or peer of the current attempt; empty while queued. */
    std::string attemptTarget;
    /** Names of the backend servers and peers used by attempts so far. */
    std::set<std::string> tried;
    std::uint32_t attempts = 0;
    /** Whether a peer rejected the request once and it was placed again. */
    bool rerouted = false;
    bool mayHaveRun = false;
};

} // namespace sardinehollow::policy
