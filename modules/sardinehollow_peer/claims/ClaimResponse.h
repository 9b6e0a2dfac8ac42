#pragma once

#include "sardinehollow_peer/claims/ClaimCall.h"
#include "sardinehollow_peer/claims/ClaimVerdict.h"

namespace sardinehollow::peer {

/** The owner's answer to a ClaimCall. */
struct ClaimResponse
{
    ClaimId id;
    ClaimOperation operation = ClaimOperation::Begin;
    ClaimVerdict verdict;
};

} // namespace sardinehollow::peer
