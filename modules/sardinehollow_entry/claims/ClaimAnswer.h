#pragma once

#include "sardinehollow_entry/claims/ClaimAction.h"
#include "sardinehollow_policy/reasons/RefusalReason.h"

#include <cstdint>
#include <string>

namespace sardinehollow::entry {

/** Result of claiming an idempotency key, and what to do with its request. */
struct ClaimAnswer
{
    ClaimAction action = ClaimAction::Refuse;
    policy::RefusalReason reason = policy::RefusalReason::None;
    /** Status and body of the recorded response (Replay). */
    int status = 0;
    std::string body;
    /** Number of the claim; to be passed to finish() or release() (Proceed). */
    std::uint64_t claimNumber = 0;
};

} // namespace sardinehollow::entry
