#include "sardinehollow_gateway/peers/UsageCoordinator.h"

#include "sardinehollow_gateway/peers/UsageTimes.h"

namespace sardinehollow::gateway {

namespace {

// Interval of the shares of teams that are not limited; they are needed only without verdicts.
constexpr core::Duration shareInterval = std::chrono::seconds(1);
// The quotas have a tolerance of a tenth over 5 s, which the other delays of messages use as well.
constexpr double activeUnreportedSeconds = 0.15;
constexpr core::Duration activeDelay = std::chrono::seconds(1);
// A coordinator that takes over gets all that is new within a round.
constexpr double standbyUnreportedSeconds = 0.5;
constexpr core::Duration standbyDelay = std::chrono::seconds(2);
constexpr core::Duration daemonExpiry = std::chrono::seconds(30);

} // namespace

UsageCoordinator::UsageCoordinator(std::string domain, std::uint64_t incarnation, bool sharesDemand,
                                   core::Instant now)
    : m_domain(std::move(domain))
    , m_incarnation(incarnation)
    , m_sharesDemand(sharesDemand)
    , m_quotas(now)
    , m_activeFilter(activeUnreportedSeconds, activeDelay)
    , m_standbyFilter(standbyUnreportedSeconds, standbyDelay)
{ }

void UsageCoordinator::setQuotas(const Quotas &quotas, core::Instant now)
{
    m_hasQuotas = !quotas.empty();
    m_quotas.setQuotas(quotas, now);
    m_activeFilter.setQuotas(quotas);
    m_standbyFilter.setQuotas(quotas);
}

void UsageCoordinator::setDomains(const std::map<std::string, std::size_t> &daemonCounts,
                                  const std::map<std::string, std::string> &regions)
{
    m_quotas.setDomains(daemonCounts);
    m_activeFilter.setDomainCount(daemonCounts.size());
    m_standbyFilter.setDomainCount(daemonCounts.size());
    m_demand.setRegions(regions);
    const auto own = daemonCounts.find(m_domain);
    m_daemonCount = own == daemonCounts.end() ? 1 : own->second;
}

void UsageCoordinator::advance(core::Instant now)
{
    m_quotas.advance(now);
    m_demand.advance(now);
    const auto isSilent
            = [now](const auto &entry) { return now - entry.second.heardAt > daemonExpiry; };
    std::erase_if(m_reporters, isSilent);
    std::erase_if(m_sent, [this](const auto &entry) { return !m_reporters.contains(entry.first); });
    std::erase_if(m_neighbours, isSilent);
}

void UsageCoordinator::onReport(const std::string &daemon, const std::string &domain,
                                const UsageMessage &report, core::Instant now)
{
    m_reporters[daemon] = {1, now};
    if (report.quotas)
        m_quotas.onReport(daemon, domain, report.incarnation, *report.quotas, now);
    if (report.demand)
        m_demand.onReport(daemon, domain, report.incarnation, *report.demand, now);
}

void UsageCoordinator::onSummary(const std::string &coordinator, const std::string &domain,
                                 const UsageMessage &summary, core::Instant now)
{
    if (summary.reporters == 0)
        m_standbys[coordinator] = now;
    else
        m_standbys.erase(coordinator);
    if (domain == m_domain)
        m_neighbours[coordinator] = {summary.reporters, now};
    if (summary.quotas)
        m_quotas.onSummary(coordinator, domain, summary.incarnation, *summary.quotas, now);
    if (summary.demand)
        m_demand.onSummary(coordinator, domain, summary.incarnation, *summary.demand, now);
}

std::optional<VerdictMessage> UsageCoordinator::verdictFor(const std::string &daemon,
                                                           bool withDemand, core::Instant now)
{
    const std::size_t heard = countDaemons(m_reporters, now) + countDaemons(m_neighbours, now);
    if (heard * 2 <= m_daemonCount)
        return std::nullopt;
    VerdictMessage verdict;
    if (m_hasQuotas) {
        verdict.quotas = m_quotas.verdictFor(daemon, now);
        if (!verdict.quotas)
            return std::nullopt;
    }
    Sent &sent = m_sent[daemon];
    if (withDemand && m_sharesDemand && now - sent.demandAt >= demandViewInterval) {
        sent.demandAt = now;
        verdict.demand = m_demand.view(now);
    }
    if (!m_hasQuotas)
        return verdict;
    if (now - sent.sharesAt >= shareInterval)
        sent.sharesAt = now;
    else
        std::erase_if(verdict.quotas->teams,
                      [](const auto &entry) { return entry.second.factor >= 1; });
    return verdict;
}

std::size_t UsageCoordinator::countDaemons(const std::map<std::string, Group> &groups,
                                           core::Instant now) const
{
    const core::Duration timeout = m_hasQuotas ? quotaVerdictTimeout : demandVerdictTimeout;
    std::size_t count = 0;
    for (const auto &[name, group] : groups)
        count += now - group.heardAt <= timeout ? group.daemons : 0;
    return count;
}

UsageCoordinator::Summaries UsageCoordinator::summaries(core::Instant now)
{
    UsageMessage message;
    message.reporters = static_cast<std::uint32_t>(countDaemons(m_reporters, now));
    message.incarnation = m_incarnation;
    if (m_sharesDemand && now - m_demandSummarizedAt >= demandSummaryInterval) {
        m_demandSummarizedAt = now;
        message.demand = m_demand.summary(now);
    }
    Summaries summaries {message, message};
    if (!m_hasQuotas)
        return summaries;
    const routing::UsageReport sums = m_quotas.summary();
    summaries.forActive.quotas = m_activeFilter.select(sums, now);
    summaries.forStandby.quotas = m_standbyFilter.select(sums, now);
    return summaries;
}

bool UsageCoordinator::isStandby(const std::string &coordinator, core::Instant now) const
{
    const auto found = m_standbys.find(coordinator);
    return found != m_standbys.end() && now - found->second <= daemonExpiry;
}

std::optional<UsageMessage> UsageCoordinator::urgentSummary(core::Instant now)
{
    const std::optional<routing::UsageReport> urgent = m_quotas.urgentSummary(now);
    if (!urgent)
        return std::nullopt;
    m_activeFilter.onSent(*urgent, now);
    UsageMessage message;
    message.incarnation = m_incarnation;
    message.reporters = static_cast<std::uint32_t>(countDaemons(m_reporters, now));
    message.quotas = *urgent;
    return message;
}

std::vector<std::string> UsageCoordinator::daemonsToNotify(core::Instant now)
{
    return m_quotas.daemonsToNotify(now);
}

} // namespace sardinehollow::gateway
