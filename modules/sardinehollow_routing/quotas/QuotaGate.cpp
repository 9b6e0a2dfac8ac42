#include "sardinehollow_routing/quotas/QuotaGate.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

namespace {

// Time for two unanswered reports and the answer of another coordinator.
constexpr core::Duration verdictLifetime = std::chrono::milliseconds(700);
constexpr core::Duration idleTime = std::chrono::seconds(60);
// A share that is no longer reported decays with this time constant, in seconds, as it does at the
// coordinator.
constexpr double shareDecaySeconds = 2;
// Credit beyond one request is kept up to this.
constexpr double maximumCredit = 2;
// A report is more urgent if a team's admitted requests since the last one exceed this.
constexpr double surgeRequests = 2;
constexpr double surgeSeconds = 0.01;
// Admitted requests of a team that no verdict has answered yet. A daemon that gets all of a team's
// requests has 0.06 s of its rate in flight; if verdicts are late, a flood ends here.
constexpr double windowRequests = 6;
constexpr double windowSeconds = 0.12;
constexpr core::Duration reportInterval = std::chrono::milliseconds(200);
constexpr core::Duration surgeReportInterval = std::chrono::milliseconds(50);
// Two rounds of reports. Late verdicts arrive as often as others, and don't make a daemon change
// to another coordinator: that one would count again what the first has not acknowledged yet.
constexpr core::Duration verdictGap = std::chrono::milliseconds(400);
// An answer takes a few milliseconds; a relay with little processor time may pause for 100 ms.
constexpr core::Duration answerTime = std::chrono::milliseconds(300);
// Reports that a late verdict may still acknowledge: those of at least 0.75 s.
constexpr std::size_t maximumPending = 15;

constexpr double minimumRetrySeconds = 0.3;
constexpr double maximumRetrySeconds = 4;
// Time in which all refused requests are admitted if they return one after the other, at a factor
// near 1.
constexpr double retrySeconds = 0.4;
// Fractional part of the golden ratio: its multiples are spread evenly over [0, 1).
constexpr double goldenFraction = 0.6180339887498949;

double fraction(double value)
{
    return value - std::floor(value);
}

} // namespace

QuotaGate::QuotaGate(std::uint64_t seed)
    : m_seed(seed)
{ }

bool QuotaGate::admit(const Team &team, core::Instant now)
{
    if (team.quota.ratePerSecond <= 0)
        return true;
    TeamState &state = stateOf(team.name, now);
    ++state.total.requested;
    const bool isAdmitted = isLocal(now)
            ? admitLocally(state, team.quota, now)
            : isWithinWindow(state, team.quota) && admitByFactor(state);
    if (!isAdmitted) {
        ++state.refusals;
        return false;
    }
    ++state.total.passed;
    ++state.unreported;
    if (static_cast<double>(state.unreported)
        > surgeRequests + surgeSeconds * team.quota.ratePerSecond)
        m_hasSurge = true;
    return true;
}

void QuotaGate::onSent(const Team &team, core::Instant now)
{
    if (team.quota.ratePerSecond > 0)
        ++stateOf(team.name, now).total.charged;
}

void QuotaGate::onNotRun(const Team &team)
{
    const auto found = m_teams.find(team.name);
    if (found != m_teams.end() && team.quota.ratePerSecond > 0)
        --found->second.total.charged;
}

bool QuotaGate::isReportDue(core::Instant now) const
{
    return now - m_reportedAt >= (m_hasSurge ? surgeReportInterval : reportInterval);
}

UsageReport QuotaGate::report(core::Instant now)
{
    std::erase_if(m_teams,
                  [now](const auto &entry) { return now - entry.second.usedAt > idleTime; });
    UsageReport report;
    report.sequence = ++m_sequence;
    report.baseSequence = m_acknowledged;
    for (auto &[team, state] : m_teams) {
        state.unreported = 0;
        if (state.total != state.acknowledged)
            report.teams[team] = {state.total, state.acknowledged};
    }
    m_reportedAt = now;
    m_hasSurge = false;
    m_pending.push_back({report, now});
    if (m_pending.size() > maximumPending)
        m_pending.pop_front();
    return report;
}

void QuotaGate::apply(const QuotaVerdict &verdict, core::Instant now)
{
    // A coordinator may send several verdicts after a report.
    const bool isRepeated = verdict.acknowledged == m_acknowledged && m_acknowledged > 0;
    const bool isPending = !m_pending.empty()
            && verdict.acknowledged >= m_pending.front().report.sequence
            && verdict.acknowledged <= m_sequence;
    if (!isRepeated && !isPending)
        return;
    acknowledge(verdict.acknowledged);
    m_verdictAt = now;
    for (auto &[team, state] : m_teams)
        state.factor = 1;
    for (const auto &[team, entry] : verdict.teams) {
        TeamState &state = m_teams.contains(team) ? m_teams[team] : stateOf(team, now);
        state.factor = entry.factor;
        state.share = entry.share;
        state.shareAt = now;
    }
}

bool QuotaGate::isVerdictOverdue(core::Instant now) const
{
    return !m_pending.empty() && now - m_pending.front().sentAt > answerTime
            && now - m_verdictAt > verdictGap;
}

core::Duration QuotaGate::retryAfter(const Team &team, core::Instant now) const
{
    const auto found = m_teams.find(team.name);
    if (found == m_teams.end())
        return core::Duration(std::chrono::milliseconds(300));
    const TeamState &state = found->second;
    double seconds = maximumRetrySeconds;
    if (isLocal(now)) {
        const double rate = team.quota.ratePerSecond * localShare(state, now);
        seconds = (1 - std::min(state.localPermits, 1.0)) / std::max(rate, 0.01);
    } else if (state.factor > 0) {
        seconds = retrySeconds / state.factor;
    }
    // From half to one and a half of the time.
    const double position = fraction(core::hashToUnit(m_seed)
                                     + goldenFraction * static_cast<double>(state.refusals));
    seconds = std::clamp(seconds, minimumRetrySeconds, maximumRetrySeconds) * (0.5 + position);
    seconds = std::clamp(seconds, minimumRetrySeconds, maximumRetrySeconds);
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

void QuotaGate::setDaemonCount(std::size_t count)
{
    m_peakDaemonCount = std::max(m_peakDaemonCount, count);
}

bool QuotaGate::isLocal(core::Instant now) const
{
    return m_acknowledged == 0 || now - m_verdictAt > verdictLifetime;
}

QuotaGate::TeamState &QuotaGate::stateOf(const std::string &team, core::Instant now)
{
    const auto [found, isNew] = m_teams.try_emplace(team);
    TeamState &state = found->second;
    state.usedAt = now;
    if (isNew) {
        // Different for each daemon: else many daemons with a request each would all admit it, or
        // none of them.
        state.credit = core::hashToUnit(core::combineHashes(m_seed, core::stableHash(team)));
        state.localPermits = state.credit;
        state.localAt = now;
        // Without any verdict the daemons are taken to have equal shares.
        state.share = m_acknowledged == 0 ? 1.0 / static_cast<double>(m_peakDaemonCount) : 0.0;
        state.shareAt = now;
    }
    return state;
}

bool QuotaGate::isWithinWindow(const TeamState &state, const TeamQuota &quota)
{
    const auto unanswered = static_cast<double>(state.total.passed - state.acknowledged.passed);
    return unanswered < windowRequests + windowSeconds * quota.ratePerSecond;
}

bool QuotaGate::admitByFactor(TeamState &state) const
{
    state.credit = std::min(state.credit + state.factor, maximumCredit);
    if (state.credit < 1)
        return false;
    state.credit -= 1;
    return true;
}

bool QuotaGate::admitLocally(TeamState &state, const TeamQuota &quota, core::Instant now) const
{
    const core::Instant localSince = m_verdictAt + verdictLifetime;
    if (m_acknowledged > 0 && state.localAt < localSince) {
        // What was left of an earlier time without verdicts has been used by other daemons since.
        state.localPermits = fraction(state.localPermits);
        state.localAt = localSince;
    }
    const double share = localShare(state, now);
    const double elapsed = std::chrono::duration<double>(now - state.localAt).count();
    state.localPermits = std::min(state.localPermits + quota.ratePerSecond * share * elapsed,
                                  std::max(1.0, quota.burst * share));
    state.localAt = now;
    if (state.localPermits < 1)
        return false;
    state.localPermits -= 1;
    return true;
}

double QuotaGate::localShare(const TeamState &state, core::Instant now) const
{
    // Decays until the verdicts ended; afterwards it is the last one known.
    const core::Instant until = isLocal(now) ? m_verdictAt : now;
    const double age = std::max(0.0, std::chrono::duration<double>(until - state.shareAt).count());
    return (state.share * std::exp(-age / shareDecaySeconds)
            + 1 / static_cast<double>(m_peakDaemonCount))
            / 2;
}

void QuotaGate::acknowledge(std::uint64_t sequence)
{
    m_acknowledged = sequence;
    while (!m_pending.empty() && m_pending.front().report.sequence <= sequence) {
        for (const auto &[team, usage] : m_pending.front().report.teams) {
            const auto found = m_teams.find(team);
            if (found != m_teams.end())
                found->second.acknowledged = usage.total;
        }
        m_pending.pop_front();
    }
}

} // namespace sardinehollow::routing
