#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_policy/shift/PermitHolder.h"

#include <string>

namespace sardinehollow::policy {

/** Identity of a holder of permits and its times. */
struct PermitWalletSettings
{
    std::string shift;
    PermitHolder holder;
    /** Taken off the lifetime of permits; covers the drift of clocks. */
    core::Duration margin = std::chrono::milliseconds(50);
    /** Time between two requests at least. Frequent reports free the cap sooner. */
    core::Duration askInterval = std::chrono::milliseconds(50);
    /** Time after which a request is sent even without need, to support the enforcer. */
    core::Duration keepAlive = std::chrono::milliseconds(500);
};

} // namespace sardinehollow::policy
