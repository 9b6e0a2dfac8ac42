#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/quotas/UsageDelta.h"
#include "sardinehollow_routing/quotas/UsageReport.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardinehollow::routing {

/**
 * Derives from the reports of one daemon or coordinator what is new since the last one, whichever
 * reports were lost, repeated or late. Not safe for concurrent use.
 */
class UsageSource
{
public:
    /**
     * Takes a report and returns what is new in it by team name. A report of an earlier
     * incarnation or with a sequence that is not above the last one is ignored; returns false then.
     */
    bool accept(std::uint64_t incarnation, const UsageReport &report, core::Instant now,
                std::map<std::string, UsageDelta> &deltas);
    /** Sequence of the latest report; 0 before the first. */
    std::uint64_t sequence() const { return m_sequence; }
    core::Instant heardAt() const { return m_heardAt; }
    /** Discards the counters, so that the next report counts from its base. */
    void forgetCounters() { m_held.clear(); }
    /** Discards the counters of teams that were not in any report for 30 s. */
    void dropIdle(core::Instant now);

private:
    struct HeldCounters
    {
        TeamCounters counters;
        std::uint64_t sequence = 0;
        core::Instant at {0};
    };

    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    core::Instant m_heardAt {0};
    std::map<std::string, HeldCounters> m_held;
};

} // namespace sardinehollow::routing
