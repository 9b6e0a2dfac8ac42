#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/backends/BackendRegistry.h"
#include "sardinehollow_routing/quarantine/CrashReport.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinehollow::routing {

/**
 * Finds requests that crash the servers that run them: those that were in flight on two servers as
 * these died, by what this daemon and the others saw. Bounded in time and number. Not safe for
 * concurrent use.
 */
class RequestQuarantine
{
public:
    /** The connection to a server broke with the request in flight; the server may have died. */
    void onLost(std::uint64_t request, const BackendStatePtr &server, core::Instant now);
    /** A server answered the request, so that it does not crash servers. */
    void onAnswered(std::uint64_t request);
    /** Looks which servers have died since; returns the requests that are quarantined now. */
    std::vector<std::uint64_t> advance(core::Instant now);
    bool contains(std::uint64_t request, core::Instant now) const;
    /** Requests that are quarantined, or were lately. */
    std::size_t size() const { return m_quarantined.size(); }

    /** What this daemon found, for the others. */
    std::vector<CrashReport> reports() const;
    /** Number that grows whenever a report is added. */
    std::uint64_t reportCount() const { return m_reportCount; }
    /** Takes in all that another daemon found. */
    void setPeerReports(const std::string &daemon, const std::vector<CrashReport> &reports,
                        core::Instant now);
    void removePeer(const std::string &daemon) { m_peers.erase(daemon); }

private:
    struct Loss
    {
        std::uint64_t request = 0;
        BackendStatePtr server;
        core::Instant at {0};
    };

    struct Finding
    {
        CrashReport report;
        core::Instant expires {0};
    };

    void confirm(const Loss &loss, core::Instant now);
    /** Whether the request was in flight on two servers as they died. */
    bool isProven(std::uint64_t request, core::Instant now) const;

    std::deque<Loss> m_losses;
    std::deque<Finding> m_findings;
    std::map<std::string, std::vector<Finding>> m_peers;
    /** Requests that may have become proven since the last look. */
    std::vector<std::uint64_t> m_candidates;
    /** Ends of quarantines. */
    std::unordered_map<std::uint64_t, core::Instant> m_quarantined;
    std::uint64_t m_reportCount = 0;
};

} // namespace sardinehollow::routing
