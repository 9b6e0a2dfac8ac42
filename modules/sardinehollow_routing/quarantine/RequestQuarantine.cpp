#include "sardinehollow_routing/quarantine/RequestQuarantine.h"

#include <algorithm>
#include <set>

namespace sardinehollow::routing {

namespace {

// The entry of a dead server is removed after three missed heartbeats or when the server restarts;
// a refused connection shows the crash earlier.
constexpr core::Duration crashConfirmationTime = std::chrono::seconds(8);
// Servers drop a request whose connection closes, or finish it within about this time.
constexpr core::Duration abandonedRunTime = std::chrono::seconds(1);
// Long enough for a caller that repeats its request occasionally, and short for a caller whose
// request was in flight only by chance.
constexpr core::Duration quarantineDuration = std::chrono::seconds(60);
constexpr std::size_t minimumCrashedServers = 2;
constexpr std::size_t maximumLostRequests = 1024;
// Keeps a daemon's crash reports within a store entry of a few kilobytes.
constexpr std::size_t maximumReports = 64;
// Of one other daemon, which may have started again with further ones.
constexpr std::size_t maximumPeerReports = 2 * maximumReports;
constexpr std::size_t maximumQuarantined = 1024;

std::string incarnationOf(const BackendState &server)
{
    return server.server().id + "@" + std::to_string(server.server().startedAt);
}

} // namespace

void RequestQuarantine::onConnectionLost(std::uint64_t request, const BackendStatePtr &server,
                                         core::Instant now)
{
    addLostRequest({request, server, now, false});
}

void RequestQuarantine::onAttemptAbandoned(std::uint64_t request, const BackendStatePtr &server,
                                           core::Instant now)
{
    addLostRequest({request, server, now, true});
}

void RequestQuarantine::addLostRequest(const LostRequest &lost)
{
    m_lostRequests.push_back(lost);
    if (m_lostRequests.size() > maximumLostRequests)
        m_lostRequests.pop_front();
}

bool RequestQuarantine::hasCrashed(const LostRequest &lost)
{
    const BackendState &server = *lost.server;
    const bool hasEnded = server.isRemoved() || server.lastReplacedAt() >= lost.at;
    if (!lost.isAbandoned)
        return hasEnded || server.lastConnectFailureAt() >= lost.at;
    // Requests are also given up at servers that are cut off from this daemon, or that leave.
    return server.lastRefusalAt() >= lost.at || (hasEnded && !server.isLeaving());
}

bool RequestQuarantine::hasSurvived(const LostRequest &lost)
{
    return lost.isAbandoned && lost.server->lastResponseAt() > lost.at + abandonedRunTime;
}

bool RequestQuarantine::onRequestCompleted(std::uint64_t request)
{
    std::erase_if(m_lostRequests,
                  [request](const LostRequest &lost) { return lost.request == request; });
    std::erase_if(m_reportEntries,
                  [request](const ReportEntry &entry) { return entry.report.request == request; });
    // Kept, since the peers' entries still have the reports when they are read again.
    for (auto &[daemon, entries] : m_peerReports) {
        for (ReportEntry &entry : entries)
            entry.isCleared = entry.isCleared || entry.report.request == request;
    }
    return m_quarantined.erase(request) > 0;
}

QuarantineFindings RequestQuarantine::evaluate(core::Instant now)
{
    QuarantineFindings findings;
    for (auto lost = m_lostRequests.begin(); lost != m_lostRequests.end();) {
        const bool isTooLate = now - lost->at > crashConfirmationTime;
        const bool isCrash = hasCrashed(*lost);
        const bool isCleared = isTooLate || hasSurvived(*lost);
        if (isCrash && !isCleared) {
            const CrashReport report {lost->request, incarnationOf(*lost->server)};
            addReport(report, now);
            findings.crashes.push_back({report, now - lost->at});
        }
        lost = isCrash || isCleared ? m_lostRequests.erase(lost) : std::next(lost);
    }
    for (const std::uint64_t request : m_candidates) {
        if (contains(request, now) || !isConfirmed(request, now))
            continue;
        std::erase_if(m_quarantined, [now](const auto &item) { return item.second <= now; });
        if (m_quarantined.size() >= maximumQuarantined)
            continue;
        m_quarantined[request] = now + quarantineDuration;
        findings.quarantined.push_back(request);
    }
    m_candidates.clear();
    dropExpired(now);
    return findings;
}

void RequestQuarantine::dropExpired(core::Instant now)
{
    const auto isExpired = [now](const ReportEntry &entry) { return entry.expires <= now; };
    // Published again without them, since a daemon that starts again would take them for new.
    if (std::erase_if(m_reportEntries, isExpired) > 0)
        ++m_reportCount;
    std::erase_if(m_peerReports, [&](const auto &peer) {
        return std::all_of(peer.second.begin(), peer.second.end(), [now](const ReportEntry &entry) {
            return entry.expires + quarantineDuration <= now;
        });
    });
}

void RequestQuarantine::onRefused(std::uint64_t request, core::Instant now)
{
    for (const auto &[daemon, entries] : m_peerReports) {
        for (const ReportEntry &entry : entries) {
            const CrashReport &report = entry.report;
            const bool isNews = report.request == request && !report.isRelayed && !entry.isCleared
                    && now < entry.expires && !hasOwnReport(report);
            if (!isNews)
                continue;
            m_reportEntries.push_back({{report.request, report.server, true}, entry.expires});
            ++m_reportCount;
        }
    }
    while (m_reportEntries.size() > maximumReports)
        m_reportEntries.pop_front();
}

bool RequestQuarantine::hasOwnReport(const CrashReport &report) const
{
    return std::any_of(m_reportEntries.begin(), m_reportEntries.end(),
                       [&](const ReportEntry &entry) { return entry.report.isSameCrash(report); });
}

void RequestQuarantine::addReport(const CrashReport &report, core::Instant now)
{
    std::erase_if(m_reportEntries, [&](const ReportEntry &entry) {
        return entry.expires <= now || entry.report.isSameCrash(report);
    });
    m_reportEntries.push_back({report, now + quarantineDuration});
    if (m_reportEntries.size() > maximumReports)
        m_reportEntries.pop_front();
    m_candidates.push_back(report.request);
    ++m_reportCount;
}

bool RequestQuarantine::isConfirmed(std::uint64_t request, core::Instant now) const
{
    std::set<std::string> servers;
    const auto add = [&](const ReportEntry &entry) {
        if (entry.report.request == request && !entry.isCleared && now < entry.expires)
            servers.insert(entry.report.server);
    };
    std::for_each(m_reportEntries.begin(), m_reportEntries.end(), add);
    for (const auto &[daemon, entries] : m_peerReports)
        std::for_each(entries.begin(), entries.end(), add);
    return servers.size() >= minimumCrashedServers;
}

bool RequestQuarantine::contains(std::uint64_t request, core::Instant now) const
{
    const auto found = m_quarantined.find(request);
    return found != m_quarantined.end() && now < found->second;
}

std::vector<CrashReport> RequestQuarantine::reports() const
{
    std::vector<CrashReport> reports;
    for (const ReportEntry &entry : m_reportEntries)
        reports.push_back(entry.report);
    return reports;
}

void RequestQuarantine::setPeerReports(const std::string &daemon,
                                       const std::vector<CrashReport> &reports, core::Instant now)
{
    std::vector<ReportEntry> &entries = m_peerReports[daemon];
    for (const CrashReport &report : reports) {
        const bool isKnown
                = std::any_of(entries.begin(), entries.end(), [&](const ReportEntry &entry) {
                      return entry.report.isSameCrash(report);
                  });
        // A report that is read again keeps its expiry.
        if (isKnown)
            continue;
        entries.push_back({report, now + quarantineDuration});
        m_candidates.push_back(report.request);
    }
    while (entries.size() > maximumPeerReports)
        entries.erase(entries.begin());
    if (entries.empty())
        m_peerReports.erase(daemon);
}

} // namespace sardinehollow::routing
