#pragma once

#include "sardinehollow_routing/demand/DemandView.h"
#include "sardinehollow_routing/quotas/QuotaVerdict.h"

#include <optional>

namespace sardinehollow::gateway {

/** A coordinator's answer to a report. */
struct VerdictMessage
{
    /** Empty if quotas are not in use. */
    std::optional<routing::QuotaVerdict> quotas;
    /** Empty if demand is not shared, or not due. */
    std::optional<routing::DemandView> demand;
    bool operator==(const VerdictMessage &) const = default;
};

} // namespace sardinehollow::gateway
