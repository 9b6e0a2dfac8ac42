#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <string>

namespace sardinehollow::entry {

/** The idempotency key of a non-idempotent request and a digest of its content. */
struct ClaimRequest
{
    std::string workKind;
    std::string key;
    /** Digest of method, path and body; detects a key that is reused for another request. */
    std::string contentDigest;
    /** Deadline of the request, as an instant of the local monotonic clock. */
    core::Instant deadline {0};
    /** How long the outcome is retained. */
    std::chrono::seconds retention {0};
    /** Number of the claim, from the result of begin(); used by finish() and release(). */
    std::uint64_t claimNumber = 0;
};

} // namespace sardinehollow::entry
