#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_load/client/HttpClient.h"
#include "sardinehollow_load/experiment/LoadKind.h"
#include "sardinehollow_load/experiment/Target.h"
#include "sardinehollow_load/results/RequestResult.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sardinehollow::load {

/**
 * A simulated caller: caches look-up results for their lifetime and resends requests that were not
 * run or not answered.
 */
class Caller
{
public:
    Caller(const core::MonotonicClock &clock, const Target &target, std::uint32_t number);

    /**
     * Sends a request until it has a final answer or its deadline has passed. The deadline and the
     * latency count from the intended send time.
     */
    RequestResult request(HttpClient &client, const LoadKind &kind, std::uint64_t number,
                          core::Instant intended);

private:
    struct LookupResult
    {
        core::Instant expiry {0};
        std::string claimScope;
        std::vector<std::string> entries;
    };

    /** Returns the cached look-up result of a work kind; queries the daemons if it expired. */
    LookupResult lookUp(HttpClient &client, const std::string &workKind);
    LookupResult queryDaemons(HttpClient &client, const std::string &workKind);
    void recordAnswer(const HttpAnswer &answer, const LoadKind &kind, const std::string &path,
                      RequestResult &result) const;

    const core::MonotonicClock &m_clock;
    const Target &m_target;
    const std::uint32_t m_number;
    const std::string m_address;
    std::mutex m_mutex;
    std::map<std::string, LookupResult> m_lookups;
};

} // namespace sardinehollow::load
