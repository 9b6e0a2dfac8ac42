#pragma once

#include "sardinehollow_core/identifiers/RequestId.h"
#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** A request that has arrived at a daemon and awaits admission. */
struct RequestOffer
{
    core::RequestId id;
    /** Name of the work kind; unlike an index it stays valid when the configuration changes. */
    std::string workKind;
    /** Stable hash of the caller, the same for all requests of one caller. */
    std::uint64_t callerHash = 0;
    /** Stable hash of method, path and start of the body, the same for resent requests. */
    std::uint64_t fingerprint = 0;
    core::Instant arrival {0};
    /** Time on the local clock after which the caller no longer needs a response. */
    core::Instant deadline {0};
    /** Whether a peer forwarded the request; such a request is not forwarded again. */
    bool forwarded = false;
    /** Failure domain of the daemon that forwarded the request; empty if not forwarded. */
    std::string originFailureDomain;
};

} // namespace sardinehollow::policy
