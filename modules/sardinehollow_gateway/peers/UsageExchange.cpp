#include "sardinehollow_gateway/peers/UsageExchange.h"

#include "sardinehollow_gateway/peers/UsageCodec.h"
#include "sardinehollow_gateway/peers/UsageTimes.h"
#include "sardinehollow_metrics/PrometheusWriter.h"

#include <algorithm>

namespace sardinehollow::gateway {

namespace {

// A team around its quota is limited and unlimited many times a second.
constexpr core::Duration teamLogInterval = std::chrono::seconds(10);
constexpr double percent = 100;
constexpr double perMinute = 60;

} // namespace

UsageExchange::UsageExchange(Settings settings, PeerLink &link,
                             const routing::EntryDirectory &entries, routing::QuotaGate &gate,
                             routing::DemandMeter &meter, Clock clock, logging::EventLog &log,
                             DemandHandler onDemand)
    : m_settings(std::move(settings))
    , m_link(link)
    , m_entries(entries)
    , m_gate(gate)
    , m_meter(meter)
    , m_clock(std::move(clock))
    , m_log(log)
    , m_onDemand(std::move(onDemand))
    , m_startedAt(m_clock())
{
    m_link.addListener(*this);
}

void UsageExchange::setQuotas(const UsageCoordinator::Quotas &quotas)
{
    UsageCoordinator::Quotas limited;
    std::vector<std::string> names;
    for (const auto &[team, quota] : quotas) {
        if (quota.ratePerSecond <= 0)
            continue;
        limited[team] = quota;
        names.push_back(team);
    }
    if (limited == m_quotas)
        return;
    m_quotas = std::move(limited);
    m_teamIds = TeamIds(std::move(names));
    const auto isRemoved = [this](const auto &entry) { return !m_quotas.contains(entry.first); };
    std::erase_if(m_loggedTeams, isRemoved);
    std::erase_if(m_limitedTeams,
                  [this](const std::string &team) { return !m_quotas.contains(team); });
    if (m_coordinator)
        m_coordinator->setQuotas(m_quotas, m_clock());
}

void UsageExchange::setSlots(UsageCoordinator::Slots slots)
{
    m_slots = std::move(slots);
    if (m_coordinator)
        m_coordinator->setSlots(m_slots);
}

void UsageExchange::onTick()
{
    const core::Instant now = m_clock();
    updateRole(now);
    if (!isInUse()) {
        m_verdictAt.reset();
        m_isVerdictLost = false;
        return;
    }
    if (isReportDue(now))
        sendReport(now);
    if (m_coordinator)
        runCoordinator(now);
    checkVerdicts(now);
}

core::Duration UsageExchange::pollInterval() const
{
    return m_quotas.empty() ? demandReportInterval / 5 : gateway::pollInterval;
}

core::Duration UsageExchange::verdictTimeout() const
{
    return m_quotas.empty() ? demandVerdictTimeout : quotaVerdictTimeout;
}

bool UsageExchange::isReportDue(core::Instant now) const
{
    return m_quotas.empty() ? now - m_reportedAt >= demandReportInterval : m_gate.isReportDue(now);
}

void UsageExchange::runCoordinator(core::Instant now)
{
    const core::Duration interval = m_quotas.empty() ? demandReportInterval : quotaSummaryInterval;
    for (const std::string &daemon : m_coordinator->daemonsToNotify(now))
        sendVerdict(daemon, false, now);
    if (now - m_summarizedAt >= interval) {
        m_summarizedAt = now;
        m_coordinator->advance(now);
        const UsageCoordinator::Summaries summaries = m_coordinator->summaries(now);
        sendSummary(summaries.forActive, false, now);
        sendSummary(summaries.forStandby, true, now);
    } else if (const std::optional<UsageMessage> urgent = m_coordinator->urgentSummary(now)) {
        sendSummary(*urgent, false, now);
    }
}

void UsageExchange::updateRole(core::Instant now)
{
    const bool isCoordinator = isInUse() && m_link.plan().isRelay;
    if (isCoordinator != m_coordinator.has_value()) {
        m_entryChanges.reset();
        m_log.write(logging::LogLine(isCoordinator ? "coordinator-started" : "coordinator-ended")
                            .text("failureDomain", m_settings.failureDomain));
        if (!isCoordinator) {
            m_coordinator.reset();
        } else {
            // Sums start again with each term.
            const auto elapsed
                    = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt);
            m_coordinator.emplace(m_settings.failureDomain,
                                  m_settings.incarnation
                                          + static_cast<std::uint64_t>(elapsed.count()),
                                  m_settings.sharesDemand, now);
            m_coordinator->setQuotas(m_quotas, now);
            m_coordinator->setSlots(m_slots);
        }
    }
    if (m_entryChanges == m_entries.changeCount())
        return;
    m_entryChanges = m_entries.changeCount();
    m_gate.setDaemonCount(m_entries.peakDaemonCount());
    if (!m_coordinator)
        return;
    std::map<std::string, std::size_t> daemonCounts;
    for (const auto &[name, daemon] : m_entries.daemons())
        ++daemonCounts[daemon.failureDomain];
    m_coordinator->setDomains(daemonCounts, m_settings.regions);
}

std::string UsageExchange::receiver(core::Instant now)
{
    const std::set<std::string> &relays = m_link.plan().ownRelays;
    if (relays.empty())
        return {};
    auto current = relays.find(m_receiver);
    if (current == relays.end()) {
        m_receiver = *relays.begin();
        m_receiverSince = now;
        return m_receiver;
    }
    const core::Instant answeredAt
            = std::max(m_receiverSince, m_verdictAt.value_or(core::Instant {0}));
    const bool isOverdue = m_quotas.empty() ? now - answeredAt >= verdictTimeout()
                                            : m_gate.isVerdictOverdue(now);
    if (!isOverdue || now - m_receiverSince < (m_verdictAt ? receiverTrialTime : firstTrialTime))
        return m_receiver;
    ++current;
    m_receiver = current == relays.end() ? *relays.begin() : *current;
    m_receiverSince = now;
    return m_receiver;
}

void UsageExchange::sendReport(core::Instant now)
{
    const std::string coordinator = receiver(now);
    const bool isOwn = coordinator == m_settings.vm;
    if (coordinator.empty() || (!isOwn && !m_link.isOpen()))
        return;
    m_reportedAt = now;
    UsageMessage message;
    message.incarnation = m_settings.incarnation;
    if (!m_quotas.empty())
        message.quotas = m_gate.report(now);
    if (m_settings.sharesDemand && now - m_demandReportedAt >= demandInterval) {
        m_demandReportedAt = now;
        message.demand = m_meter.report();
    }
    ++m_counters.reportsSent;
    if (isOwn)
        onReport(coordinator, message);
    else
        m_link.send(coordinator, encodeReport(message, m_teamIds));
}

std::set<std::string> UsageExchange::otherCoordinators() const
{
    std::set<std::string> coordinators = m_link.plan().ownRelays;
    for (const auto &[domain, relays] : m_link.plan().remoteRelays)
        coordinators.insert(relays.begin(), relays.end());
    coordinators.erase(m_settings.vm);
    return coordinators;
}

void UsageExchange::sendSummary(const UsageMessage &summary, bool toStandbys, core::Instant now)
{
    if (!m_link.isOpen())
        return;
    const peer::wire::Envelope envelope = encodeSummary(summary, m_teamIds);
    for (const std::string &coordinator : otherCoordinators()) {
        if (m_coordinator->isStandby(coordinator, now) != toStandbys)
            continue;
        ++m_counters.summariesSent;
        m_link.send(coordinator, envelope);
    }
}

const std::string *UsageExchange::domainOf(const std::string &daemon) const
{
    if (daemon == m_settings.vm)
        return &m_settings.failureDomain;
    const auto found = m_entries.daemons().find(daemon);
    return found == m_entries.daemons().end() ? nullptr : &found->second.failureDomain;
}

void UsageExchange::onPeerMessage(const peer::wire::Envelope &envelope)
{
    if (!isInUse())
        return;
    const std::string &sender = envelope.sender_id();
    if (envelope.has_usage_report()) {
        const auto report = decodeReport(envelope.usage_report(), m_teamIds);
        report ? onReport(sender, *report) : logUnreadable(sender, report.error());
    } else if (envelope.has_usage_summary()) {
        const auto summary = decodeSummary(envelope.usage_summary(), m_teamIds);
        summary ? onSummary(sender, *summary) : logUnreadable(sender, summary.error());
    } else if (envelope.has_quota_verdict()) {
        const auto verdict = decodeVerdict(envelope.quota_verdict(), m_teamIds);
        verdict ? onVerdict(sender, *verdict) : logUnreadable(sender, verdict.error());
    }
}

void UsageExchange::onReport(const std::string &daemon, const UsageMessage &report)
{
    ++m_counters.reportsReceived;
    const std::string *domain = domainOf(daemon);
    if (!m_coordinator || !domain || *domain != m_settings.failureDomain)
        return;
    const core::Instant now = m_clock();
    m_coordinator->onReport(daemon, *domain, report, now);
    sendVerdict(daemon, report.demand.has_value(), now);
}

void UsageExchange::sendVerdict(const std::string &daemon, bool withDemand, core::Instant now)
{
    const std::optional<VerdictMessage> verdict
            = m_coordinator->verdictFor(daemon, withDemand, now);
    if (!verdict)
        return;
    ++m_counters.verdictsSent;
    if (daemon == m_settings.vm)
        onVerdict(daemon, *verdict);
    else
        m_link.send(daemon, encodeVerdict(*verdict, m_teamIds));
}

void UsageExchange::onSummary(const std::string &coordinator, const UsageMessage &summary)
{
    ++m_counters.summariesReceived;
    const std::string *domain = domainOf(coordinator);
    if (m_coordinator && domain)
        m_coordinator->onSummary(coordinator, *domain, summary, m_clock());
}

void UsageExchange::onVerdict(const std::string &coordinator, const VerdictMessage &verdict)
{
    ++m_counters.verdictsReceived;
    if (!m_link.plan().ownRelays.contains(coordinator))
        return;
    const core::Instant now = m_clock();
    if (verdict.quotas) {
        m_gate.apply(*verdict.quotas, now);
        logTeams(*verdict.quotas, now);
    }
    if (verdict.demand)
        m_onDemand(*verdict.demand, now);
    // Late verdicts of an earlier receiver say nothing about the present one.
    if (coordinator != m_receiver)
        return;
    m_verdictAt = now;
    if (!m_isVerdictLost)
        return;
    m_isVerdictLost = false;
    m_log.write(logging::LogLine("verdicts-regained").text("coordinator", coordinator));
}

void UsageExchange::checkVerdicts(core::Instant now)
{
    if (m_isVerdictLost || !m_verdictAt || now - *m_verdictAt <= verdictTimeout())
        return;
    m_isVerdictLost = true;
    m_limitedTeams.clear();
    m_log.write(logging::LogLine("verdicts-lost")
                        .text("coordinator", m_receiver)
                        .milliseconds("ms", now - *m_verdictAt));
}

void UsageExchange::logTeams(const routing::QuotaVerdict &verdict, core::Instant now)
{
    m_limitedTeams.clear();
    for (const auto &[team, entry] : verdict.teams) {
        if (entry.factor < 1)
            m_limitedTeams.insert(team);
    }
    for (const auto &[team, quota] : m_quotas) {
        const bool isLimited = m_limitedTeams.contains(team);
        auto &[wasLimited, loggedAt] = m_loggedTeams[team];
        const bool isDue = loggedAt.count() == 0 || now - loggedAt >= teamLogInterval;
        if (isLimited == wasLimited || !isDue)
            continue;
        wasLimited = isLimited;
        loggedAt = now;
        const double factor = isLimited ? verdict.teams.at(team).factor : 1;
        m_log.write(logging::LogLine(isLimited ? "team-limited" : "team-unlimited")
                            .text("team", team)
                            .number("factorPercent", static_cast<std::int64_t>(factor * percent))
                            .number("quotaPerMinute",
                                    static_cast<std::int64_t>(quota.ratePerSecond * perMinute)));
    }
}

void UsageExchange::logUnreadable(const std::string &sender, const core::Error &error)
{
    m_log.write(logging::LogLine("peer-message-unreadable")
                        .text("vm", sender)
                        .text("error", error.text()));
}

void UsageExchange::appendMetrics(metrics::PrometheusWriter &writer) const
{
    const auto add = [&writer](const char *name, const char *help, const char *type, double value) {
        writer.family(name, help, type);
        writer.sample(name, {}, std::to_string(value));
    };
    const auto count = [&add](const char *name, const char *help, std::uint64_t value) {
        add(name, help, "counter", static_cast<double>(value));
    };
    count("usage_reports_sent_total", "Reports of this daemon's usage.", m_counters.reportsSent);
    count("usage_reports_received_total", "Reports of daemons to this coordinator.",
          m_counters.reportsReceived);
    count("usage_summaries_sent_total", "Summaries sent to other coordinators.",
          m_counters.summariesSent);
    count("usage_summaries_received_total", "Summaries of other coordinators.",
          m_counters.summariesReceived);
    count("usage_verdicts_sent_total", "Answers to reports of daemons.", m_counters.verdictsSent);
    count("usage_verdicts_received_total", "Answers to this daemon's reports.",
          m_counters.verdictsReceived);
    add("usage_verdict_age_seconds", "Age of the last verdict; -1 before the first.", "gauge",
        m_verdictAt ? std::chrono::duration<double>(m_clock() - *m_verdictAt).count() : -1);
    add("usage_coordinator", "Whether this daemon is a coordinator.", "gauge",
        m_coordinator ? 1 : 0);
    add("teams_limited", "Teams that are limited by the last verdict.", "gauge",
        static_cast<double>(m_limitedTeams.size()));
}

} // namespace sardinehollow::gateway
