#pragma once

#include "sardinehollow_load/experiment/Target.h"
#include "sardinehollow_load/results/ViolationCounts.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace sardinehollow::load {

/** Checks the system's guarantees with data from the stand-in and the daemons. */
class SystemInspector
{
public:
    explicit SystemInspector(const Target &target);

    /** Queries the generation of each daemon; one lower than before counts as a reversal. */
    void observeGenerations();

    /**
     * Counts violated guarantees. The keys are the idempotency keys of requests whose every try was
     * reported as not run.
     */
    ViolationCounts inspect(const std::set<std::string> &notRunKeys) const;

private:
    struct DaemonState
    {
        std::uint64_t incarnation = 0;
        std::uint64_t generation = 0;
    };

    void countRunViolations(const std::set<std::string> &notRunKeys, ViolationCounts &counts) const;
    void countBackendViolations(ViolationCounts &counts) const;

    const Target &m_target;
    std::map<std::string, DaemonState> m_daemonStates;
    std::uint64_t m_generationReversals = 0;
};

} // namespace sardinehollow::load
