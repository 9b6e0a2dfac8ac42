#pragma once

#include "sardinehollow_core/time/TokenBucket.h"

#include <map>
#include <string>

namespace sardinehollow::routing {

/** Bounds on retries (attempts after a request's first), for all daemons together. */
struct RetryBudgetSettings
{
    /** Retry permits earned per request. */
    double ratio = 0.1;
    /** Retries that all daemons together may make beyond the ratio within a window. */
    double allowance = 0;
    core::Duration window = std::chrono::seconds(10);
};

/** This daemon's share of the retry budget of each service. Not safe for concurrent use. */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings);

    /** Records a new request for the service; the allowance is divided by the number of daemons. */
    void onRequest(const std::string &service, std::size_t daemonCount);
    /** Takes a permit for one retry; returns false if there is none. */
    bool take(const std::string &service, core::Instant now);

private:
    const RetryBudgetSettings m_settings;
    std::map<std::string, core::TokenBucket> m_buckets;
};

} // namespace sardinehollow::routing
