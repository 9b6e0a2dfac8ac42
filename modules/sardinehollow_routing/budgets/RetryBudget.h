#pragma once

#include "sardinehollow_core/time/TokenBucket.h"

#include <map>
#include <string>

namespace sardinehollow::routing {

/** Bounds on the attempts beyond the first of each request, for all daemons together. */
struct RetryBudgetSettings
{
    /** Attempts earned by each request. */
    double ratio = 0.1;
    /** Attempts that all daemons may make beyond that within a window. */
    double allowance = 0;
    core::Duration window = std::chrono::seconds(10);
};

/** This daemon's part of the retry budget of each service. Not safe for concurrent use. */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings);

    /** A request for the service came. */
    void onRequest(const std::string &service, std::size_t fleetSize);
    /** Takes the permit for one more attempt; false if there is none. */
    bool take(const std::string &service, core::Instant now);

private:
    const RetryBudgetSettings m_settings;
    std::map<std::string, core::TokenBucket> m_buckets;
};

} // namespace sardinehollow::routing
