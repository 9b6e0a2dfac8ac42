#include "sardinehollow_routing/quotas/QuotaCoordinator.h"

#include <algorithm>

namespace sardinehollow::routing {

namespace {

// Three rounds of summaries; by then the usage of all domains is known.
constexpr core::Duration warmUpTime = std::chrono::milliseconds(600);
constexpr core::Duration snapshotInterval = std::chrono::milliseconds(200);
constexpr core::Duration urgentInterval = std::chrono::milliseconds(50);
// A summary is urgent if a team's requests since the last one exceed this. A domain has fewer in
// 200 ms unless the team sends several times its quota, or most of its requests to this domain.
constexpr double surgeRequests = 3;
constexpr double surgeSeconds = 0.03;
// A daemon without reports for longer uses another coordinator.
constexpr core::Duration reporterLifetime = std::chrono::seconds(1);
// After this time the usage of a coordinator's domain is accounted for as that of a silent one.
constexpr core::Duration summaryExpiry = std::chrono::seconds(3);
// Time after which a daemon or coordinator without messages is forgotten.
constexpr core::Duration sourceExpiry = std::chrono::seconds(30);
// A verdict has the shares of the teams that the daemon's latest reports had.
constexpr core::Duration shareAveragingTime = std::chrono::seconds(2);
// Requests per second below which shares in them mean nothing.
constexpr double minimumRate = 0.01;

} // namespace

QuotaCoordinator::QuotaCoordinator(core::Instant now)
    : m_startedAt(now)
    , m_snapshotAt(now)
{ }

void QuotaCoordinator::setQuotas(const std::map<std::string, TeamQuota> &quotas, core::Instant now)
{
    const auto isLimited = [&quotas](const std::string &team) {
        const auto found = quotas.find(team);
        return found != quotas.end() && found->second.ratePerSecond > 0;
    };
    const auto isRemoved = [&isLimited](const auto &entry) { return !isLimited(entry.first); };
    std::erase_if(m_buckets, isRemoved);
    std::erase_if(m_sums, isRemoved);
    for (auto &[name, domain] : m_domains)
        domain.retainTeams(isLimited);
    for (auto &[name, reporter] : m_reporters)
        std::erase_if(reporter.charged, isRemoved);
    for (const auto &[team, quota] : quotas) {
        if (isLimited(team))
            m_buckets.try_emplace(team, quota, now).first->second.setQuota(quota);
    }
}

void QuotaCoordinator::setDomains(const std::map<std::string, std::size_t> &daemonCounts)
{
    m_daemonCounts = daemonCounts;
}

void QuotaCoordinator::onReport(const std::string &daemon, const std::string &domain,
                                std::uint64_t incarnation, const UsageReport &report,
                                core::Instant now)
{
    // A new coordinator's buckets start empty: what ran before its start is passed on to the
    // others, but not taken from them.
    const bool isHistory = now - m_startedAt < warmUpTime && !m_reporters.contains(daemon);
    Reporter &reporter = m_reporters[daemon];
    std::map<std::string, UsageDelta> deltas;
    if (!reporter.source.accept(incarnation, report, now, deltas))
        return;
    reporter.domain = domain;
    DomainUsage &usage = domainUsage(domain, now);
    for (const auto &[team, delta] : deltas) {
        if (!m_buckets.contains(team))
            continue;
        TeamCounters &total = m_sums[team].total;
        total.requested += static_cast<std::uint64_t>(delta.requested);
        total.passed += static_cast<std::uint64_t>(delta.passed);
        total.charged += static_cast<std::int64_t>(delta.charged);
        if (isHistory)
            continue;
        reporter.charged.try_emplace(team, shareAveragingTime)
                .first->second.add(delta.charged, now);
        addUsage(team, usage, delta, now);
    }
}

void QuotaCoordinator::onSummary(const std::string &coordinator, const std::string &domain,
                                 std::uint64_t incarnation, const UsageReport &summary,
                                 core::Instant now)
{
    UsageSource &source = m_coordinators[coordinator];
    if (now - source.heardAt() > summaryExpiry)
        source.forgetCounters();
    std::map<std::string, UsageDelta> deltas;
    if (!source.accept(incarnation, summary, now, deltas))
        return;
    DomainUsage &usage = domainUsage(domain, now);
    for (const auto &[team, delta] : deltas) {
        if (m_buckets.contains(team))
            addUsage(team, usage, delta, now);
    }
}

UsageReport QuotaCoordinator::summary()
{
    UsageReport report;
    report.sequence = ++m_sequence;
    for (auto &[team, sums] : m_sums) {
        sums.sent = sums.total;
        if (sums.total != sums.base)
            report.teams[team] = {sums.total, sums.base};
    }
    return report;
}

std::optional<UsageReport> QuotaCoordinator::urgentSummary(core::Instant now)
{
    if (now - m_urgentSummaryAt < urgentInterval)
        return std::nullopt;
    UsageReport report;
    for (auto &[team, sums] : m_sums) {
        const auto unsent = static_cast<double>(sums.total.passed - sums.sent.passed);
        const double rate = m_buckets.at(team).quota().ratePerSecond;
        if (unsent <= surgeRequests + surgeSeconds * rate)
            continue;
        sums.sent = sums.total;
        report.teams[team] = {sums.total, sums.base};
    }
    if (report.teams.empty())
        return std::nullopt;
    m_urgentSummaryAt = now;
    report.sequence = ++m_sequence;
    return report;
}

std::optional<QuotaVerdict> QuotaCoordinator::verdictFor(const std::string &daemon,
                                                         core::Instant now)
{
    const auto found = m_reporters.find(daemon);
    if (found == m_reporters.end() || now - m_startedAt < warmUpTime)
        return std::nullopt;
    const Reporter &reporter = found->second;
    QuotaVerdict verdict;
    verdict.acknowledged = reporter.source.sequence();
    for (auto &[team, bucket] : m_buckets) {
        const double factor = bucket.factor(now);
        const auto charged = reporter.charged.find(team);
        const double rate = charged == reporter.charged.end() ? 0 : charged->second.rate(now);
        if (factor >= 1 && rate < minimumRate)
            continue;
        const double total = totalRate(team, now);
        const double share = total > 0 ? std::clamp(rate / total, 0.0, 1.0) : 0;
        verdict.teams[team] = {factor, share};
    }
    return verdict;
}

std::vector<std::string> QuotaCoordinator::daemonsToNotify(core::Instant now)
{
    if (now - m_startedAt < warmUpTime || now - m_notifiedAt < urgentInterval)
        return {};
    bool hasFallen = false;
    for (auto &[team, bucket] : m_buckets)
        hasFallen = bucket.takeFactorFall(now) || hasFallen;
    std::vector<std::string> daemons;
    if (!hasFallen)
        return daemons;
    m_notifiedAt = now;
    for (const auto &[daemon, reporter] : m_reporters) {
        if (now - reporter.source.heardAt() < reporterLifetime)
            daemons.push_back(daemon);
    }
    return daemons;
}

void QuotaCoordinator::advance(core::Instant now)
{
    for (const auto &[domain, count] : m_daemonCounts)
        m_domains.try_emplace(domain, now);
    std::erase_if(m_domains, [this](const auto &entry) {
        return entry.second.isSilent() && !m_daemonCounts.contains(entry.first);
    });
    checkDomains(now);
    updateReserves(now);
    takeSnapshots(now);
    dropIdle(now);
}

DomainUsage &QuotaCoordinator::domainUsage(const std::string &domain, core::Instant now)
{
    DomainUsage &usage = m_domains.try_emplace(domain, now).first->second;
    usage.onHeard(now);
    return usage;
}

void QuotaCoordinator::addUsage(const std::string &team, DomainUsage &domain,
                                const UsageDelta &delta, core::Instant now)
{
    m_buckets.at(team).add(delta, domain.add(team, delta.charged, now), now);
}

double QuotaCoordinator::totalRate(const std::string &team, core::Instant now) const
{
    double total = 0;
    for (const auto &[name, domain] : m_domains)
        total += domain.rate(team, now);
    return total;
}

double QuotaCoordinator::daemonFraction(const std::string &domain) const
{
    std::size_t total = 0;
    for (const auto &[name, count] : m_daemonCounts)
        total += count;
    const auto found = m_daemonCounts.find(domain);
    if (found == m_daemonCounts.end() || total == 0)
        return 0;
    return static_cast<double>(found->second) / static_cast<double>(total);
}

void QuotaCoordinator::checkDomains(core::Instant now)
{
    bool isPartitioning = false;
    for (auto &[name, domain] : m_domains) {
        domain.checkSilence(now);
        isPartitioning = isPartitioning || domain.isStale(now);
    }
    // When some domains are cut off, both sides count with the shares from before. Newer rates of
    // only one side would make the sides' parts exceed the quota.
    if (isPartitioning)
        return;
    for (const auto &[team, bucket] : m_buckets)
        updateShares(team, now);
}

void QuotaCoordinator::updateShares(const std::string &team, core::Instant now)
{
    const double total = totalRate(team, now);
    for (auto &[name, domain] : m_domains) {
        if (domain.isSilent())
            continue;
        domain.setShare(
                team, total > minimumRate ? domain.rate(team, now) / total : daemonFraction(name));
    }
}

void QuotaCoordinator::updateReserves(core::Instant now)
{
    for (auto &[team, bucket] : m_buckets) {
        double reserved = 0;
        for (auto &[name, domain] : m_domains) {
            if (domain.isSilent())
                reserved += domain.reserve(team, bucket.quota(), daemonFraction(name), now);
        }
        bucket.setReserved(reserved, now);
    }
    for (auto &[name, domain] : m_domains)
        domain.setReservedAt(now);
}

void QuotaCoordinator::takeSnapshots(core::Instant now)
{
    if (now - m_snapshotAt < snapshotInterval)
        return;
    m_snapshotAt = now;
    for (auto &[team, sums] : m_sums) {
        sums.base = sums.snapshot;
        sums.snapshot = sums.total;
    }
    // Within this time, all daemons have got a verdict anyway.
    for (auto &[team, bucket] : m_buckets)
        bucket.publishFactor(now);
}

void QuotaCoordinator::dropIdle(core::Instant now)
{
    std::erase_if(m_reporters, [now](const auto &entry) {
        return now - entry.second.source.heardAt() > sourceExpiry;
    });
    std::erase_if(m_coordinators,
                  [now](const auto &entry) { return now - entry.second.heardAt() > sourceExpiry; });
    for (auto &[name, reporter] : m_reporters) {
        reporter.source.dropIdle(now);
        std::erase_if(reporter.charged, [now](const auto &entry) {
            return entry.second.rate(now) < minimumRate / 10;
        });
    }
    for (auto &[name, source] : m_coordinators)
        source.dropIdle(now);
}

} // namespace sardinehollow::routing
