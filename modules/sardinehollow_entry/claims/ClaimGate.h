#pragma once

#include "sardinehollow_entry/claims/ClaimAnswer.h"
#include "sardinehollow_entry/claims/ClaimRequest.h"

namespace sardinehollow::entry {

/**
 * Ensures that non-idempotent requests run at most once, by claims on their idempotency keys. Safe
 * for concurrent use.
 */
class ClaimGate
{
public:
    virtual ~ClaimGate() = default;

    /** Claims the key of a request before it runs; may block until the request's deadline. */
    virtual ClaimAnswer begin(const ClaimRequest &request) = 0;
    /**
     * Records the response of a claimed request that ran. Status 0 means that the response is too
     * large to record; a repeat of the key is then answered with an unknown outcome.
     */
    virtual void finish(const ClaimRequest &request, int status, const std::string &body) = 0;
    /** Releases the claim of a request that is known not to have run. */
    virtual void release(const ClaimRequest &request) = 0;
};

} // namespace sardinehollow::entry
