#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_policy/shift/PermitHolder.h"

#include <string>

namespace sardinehollow::policy {

/** Identity of a permit holder, and its time limits. */
struct LocalPermitsSettings
{
    std::string shift;
    PermitHolder holder;
    /** Deducted from the lifetime of permits to allow for clock drift. */
    core::Duration expiryMargin = std::chrono::milliseconds(50);
    /** Shortest time between two requests. Reporting uses often frees room under the cap sooner. */
    core::Duration minRequestInterval = std::chrono::milliseconds(50);
    /**
     * Time after which a request is sent even if no permits are needed: the enforcer restarts its
     * hold-off if it receives no requests from a daemon of its failure domain.
     */
    core::Duration keepAliveInterval = std::chrono::milliseconds(500);
};

} // namespace sardinehollow::policy
