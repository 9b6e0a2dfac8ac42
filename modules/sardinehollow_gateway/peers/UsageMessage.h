#pragma once

#include "sardinehollow_routing/demand/DemandReport.h"
#include "sardinehollow_routing/quotas/UsageReport.h"

#include <cstdint>
#include <optional>

namespace sardinehollow::gateway {

/** A daemon's report or a coordinator's summary. */
struct UsageMessage
{
    /** Larger after each start of the counters. */
    std::uint64_t incarnation = 0;
    /** Empty if quotas are not in use. */
    std::optional<routing::UsageReport> quotas;
    /** Empty if demand is not shared, or not due. */
    std::optional<routing::DemandReport> demand;
    /** Number of daemons that have reported to the coordinator lately; only in summaries. */
    std::uint32_t reporters = 0;
    bool operator==(const UsageMessage &) const = default;
};

} // namespace sardinehollow::gateway
