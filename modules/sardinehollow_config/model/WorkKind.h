#pragma once

#include "sardinehollow_config/model/StoreOutageMode.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinehollow::config {

/** A class of requests that share path, rank, pool and limits. */
struct WorkKind
{
    std::string name;
    std::string pathPrefix;
    std::vector<std::string> methods;
    std::string rank;
    std::string pool;
    bool idempotent = true;
    std::chrono::milliseconds defaultDeadline {0};
    std::uint64_t maxRequestBytes = 0;
    /** Maximum number of queued requests of the kind in one daemon. */
    std::uint32_t queueLimit = 0;
    /** Expected size of a response; used to budget the bandwidth of links between regions. */
    std::uint64_t typicalResponseBytes = 0;
    StoreOutageMode storeOutage = StoreOutageMode::Refuse;
    /** How long the outcome of a request with an idempotency key is kept after it has finished. */
    std::chrono::seconds claimRetention {0};

    bool operator==(const WorkKind &) const = default;
};

} // namespace sardinehollow::config
