#include "sardinehollow_routing/quarantine/RequestQuarantine.h"

#include <algorithm>
#include <set>

namespace sardinehollow::routing {

namespace {

// A dead server's entry goes after three of its heartbeats, or when it starts again; a connection
// that is refused tells earlier.
constexpr core::Duration deathWait = std::chrono::seconds(8);
// Long enough for a caller that repeats its request now and then, short for a caller that was hit
// by chance.
constexpr core::Duration quarantineTime = std::chrono::seconds(60);
constexpr std::size_t serversForProof = 2;
constexpr std::size_t mostLosses = 1024;
// What one daemon tells the others fits into a store entry of a few kilobytes.
constexpr std::size_t mostFindings = 64;
constexpr std::size_t mostQuarantined = 1024;

std::string nameOf(const BackendState &server)
{
    return server.server().id + "@" + std::to_string(server.server().startedAt);
}

} // namespace

void RequestQuarantine::onLost(std::uint64_t request, const BackendStatePtr &server,
                               core::Instant now)
{
    m_losses.push_back({request, server, now});
    if (m_losses.size() > mostLosses)
        m_losses.pop_front();
}

void RequestQuarantine::onAnswered(std::uint64_t request)
{
    std::erase_if(m_losses, [request](const Loss &loss) { return loss.request == request; });
    std::erase_if(m_findings,
                  [request](const Finding &finding) { return finding.report.request == request; });
}

std::vector<std::uint64_t> RequestQuarantine::advance(core::Instant now)
{
    for (auto loss = m_losses.begin(); loss != m_losses.end();) {
        const bool isTooLate = now - loss->at > deathWait;
        const bool hasDied = loss->server->isGone() || loss->server->unreachableAt() >= loss->at;
        if (hasDied && !isTooLate)
            confirm(*loss, now);
        loss = hasDied || isTooLate ? m_losses.erase(loss) : std::next(loss);
    }
    std::vector<std::uint64_t> quarantined;
    for (const std::uint64_t request : m_candidates) {
        if (contains(request, now) || !isProven(request, now))
            continue;
        std::erase_if(m_quarantined, [now](const auto &item) { return item.second <= now; });
        if (m_quarantined.size() >= mostQuarantined)
            continue;
        m_quarantined[request] = now + quarantineTime;
        quarantined.push_back(request);
    }
    m_candidates.clear();
    return quarantined;
}

void RequestQuarantine::confirm(const Loss &loss, core::Instant now)
{
    const CrashReport report {loss.request, nameOf(*loss.server)};
    std::erase_if(m_findings, [&](const Finding &finding) {
        return finding.expires <= now || finding.report == report;
    });
    m_findings.push_back({report, now + quarantineTime});
    if (m_findings.size() > mostFindings)
        m_findings.pop_front();
    m_candidates.push_back(loss.request);
    ++m_reportCount;
}

bool RequestQuarantine::isProven(std::uint64_t request, core::Instant now) const
{
    std::set<std::string> servers;
    const auto add = [&](const Finding &finding) {
        if (finding.report.request == request && now < finding.expires)
            servers.insert(finding.report.server);
    };
    std::for_each(m_findings.begin(), m_findings.end(), add);
    for (const auto &[daemon, findings] : m_peers)
        std::for_each(findings.begin(), findings.end(), add);
    return servers.size() >= serversForProof;
}

bool RequestQuarantine::contains(std::uint64_t request, core::Instant now) const
{
    const auto found = m_quarantined.find(request);
    return found != m_quarantined.end() && now < found->second;
}

std::vector<CrashReport> RequestQuarantine::reports() const
{
    std::vector<CrashReport> reports;
    for (const Finding &finding : m_findings)
        reports.push_back(finding.report);
    return reports;
}

void RequestQuarantine::setPeerReports(const std::string &daemon,
                                       const std::vector<CrashReport> &reports, core::Instant now)
{
    const auto known = m_peers.find(daemon);
    if (reports.empty()) {
        if (known != m_peers.end())
            m_peers.erase(known);
        return;
    }
    const std::vector<Finding> earlier
            = known == m_peers.end() ? std::vector<Finding> {} : known->second;
    std::vector<Finding> findings;
    for (const CrashReport &report : reports) {
        Finding finding {report, now + quarantineTime};
        const auto same = std::find_if(earlier.begin(), earlier.end(), [&](const Finding &other) {
            return other.report == report;
        });
        // An entry that is read again says nothing new.
        if (same != earlier.end())
            finding.expires = same->expires;
        else
            m_candidates.push_back(report.request);
        findings.push_back(finding);
    }
    m_peers[daemon] = findings;
}

} // namespace sardinehollow::routing
