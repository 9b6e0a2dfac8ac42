#pragma once

#include "sardinehollow_routing/quotas/TeamCounters.h"

namespace sardinehollow::routing {

/** A team's counters, and the earlier ones from which a receiver without any of its own counts. */
struct TeamUsage
{
    TeamCounters total;
    TeamCounters base;
    bool operator==(const TeamUsage &) const = default;
};

} // namespace sardinehollow::routing
