#pragma once

#include "sardinehollow_peer/claims/ClaimCall.h"

namespace sardinehollow::peer {

/** A claim call and the VM of the daemon to send it to. */
struct ClaimMessage
{
    std::string vm;
    ClaimCall call;
};

} // namespace sardinehollow::peer
