#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/backends/BackendRegistry.h"
#include "sardinehollow_routing/quarantine/CrashReport.h"
#include "sardinehollow_routing/quarantine/QuarantineFindings.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinehollow::routing {

/**
 * Detects requests that crash the servers that run them: requests that were in flight on two
 * servers when these crashed, or were given up there shortly before, according to the reports of
 * all daemons. Such a request is
 * quarantined for 60 s. The number of reports and quarantined requests is bounded. Not safe for
 * concurrent use.
 */
class RequestQuarantine
{
public:
    /** Records that a connection broke with the request in flight; the server may have crashed. */
    void onConnectionLost(std::uint64_t request, const BackendStatePtr &server, core::Instant now);
    /**
     * Records that an attempt was given up before its response, since the caller left or the time
     * was up; the server may go on running it, or may have crashed without a sign.
     */
    void onAttemptAbandoned(std::uint64_t request, const BackendStatePtr &server,
                            core::Instant now);
    /**
     * Records that a server answered the request, which clears it at this daemon of all reports so
     * far, also of those of other daemons. Returns whether this ended its quarantine.
     */
    bool onRequestCompleted(std::uint64_t request);
    /** Checks for crashed servers and for requests that are to be quarantined. */
    QuarantineFindings evaluate(core::Instant now);
    /** Whether the request is quarantined. */
    bool contains(std::uint64_t request, core::Instant now) const;
    /** Number of quarantined requests; may include expired ones. */
    std::size_t size() const { return m_quarantined.size(); }

    /** This daemon's own crash reports, to be published to the others. */
    std::vector<CrashReport> reports() const;
    /** Number of own reports added so far; changes whenever there is a new report to publish. */
    std::uint64_t reportCount() const { return m_reportCount; }
    /** Takes the crash reports of another daemon; earlier ones hold until they expire. */
    void setPeerReports(const std::string &daemon, const std::vector<CrashReport> &reports,
                        core::Instant now);
    /**
     * Records that a quarantined request was refused. The reports of other daemons about it are
     * published with the own ones, so that a daemon that starts again learns of it although their
     * authors have lost them.
     */
    void onRefused(std::uint64_t request, core::Instant now);

private:
    struct LostRequest
    {
        std::uint64_t request = 0;
        BackendStatePtr server;
        core::Instant at {0};
        /** The attempt was given up; otherwise its connection broke. */
        bool isAbandoned = false;
    };

    struct ReportEntry
    {
        CrashReport report;
        core::Instant expires {0};
        /** Whether the request was answered after the report. */
        bool isCleared = false;
    };

    bool hasOwnReport(const CrashReport &report) const;
    void dropExpired(core::Instant now);
    void addLostRequest(const LostRequest &lost);
    /** Whether the server is known to have crashed with the request in flight or soon after. */
    static bool hasCrashed(const LostRequest &lost);
    /** Whether the server has answered others for long enough after the attempt was given up. */
    static bool hasSurvived(const LostRequest &lost);
    void addReport(const CrashReport &report, core::Instant now);
    /** Whether unexpired reports name two or more crashed servers for the request. */
    bool isConfirmed(std::uint64_t request, core::Instant now) const;

    std::deque<LostRequest> m_lostRequests;
    std::deque<ReportEntry> m_reportEntries;
    std::map<std::string, std::vector<ReportEntry>> m_peerReports;
    /** Requests with new reports since the last evaluation. */
    std::vector<std::uint64_t> m_candidates;
    /** Expiry of the quarantine by request. */
    std::unordered_map<std::uint64_t, core::Instant> m_quarantined;
    std::uint64_t m_reportCount = 0;
};

} // namespace sardinehollow::routing
