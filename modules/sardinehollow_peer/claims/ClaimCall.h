#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_peer/claims/ClaimId.h"
#include "sardinehollow_peer/claims/ClaimOperation.h"

namespace sardinehollow::peer {

/** A claim operation that a daemon sends to the owner of a scope. */
struct ClaimCall
{
    ClaimOperation operation = ClaimOperation::Begin;
    /** The same for the begin, finish and release calls of one claim. */
    ClaimId id;
    std::string workKind;
    std::string key;
    std::string contentDigest;
    /** Deadline of the claimed request on the local clock (Begin). */
    core::Instant deadline {0};
    /** Response to record (Finish); status 0 if the response is too large to keep. */
    int status = 0;
    std::string body;
};

} // namespace sardinehollow::peer
