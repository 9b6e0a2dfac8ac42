#pragma once

#include "sardinehollow_config/model/WorkKind.h"
#include "sardinehollow_policy/pool/RetryTokenBucket.h"
#include "sardinehollow_policy/pool/ServiceTimeAverage.h"

#include <cstddef>
#include <cstdint>

namespace sardinehollow::policy {

/** State of one work kind within a pool shard. */
struct WorkKindState
{
    config::WorkKind kind;
    std::size_t rank = 0;
    RetryTokenBucket retryBudget;
    ServiceTimeAverage serviceTime;
    std::uint32_t queued = 0;
};

} // namespace sardinehollow::policy
