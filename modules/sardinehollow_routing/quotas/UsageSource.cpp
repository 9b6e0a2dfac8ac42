#include "sardinehollow_routing/quotas/UsageSource.h"

namespace sardinehollow::routing {

namespace {

// A process whose clock was set back starts with a lower incarnation; it counts after this time.
constexpr core::Duration incarnationExpiry = std::chrono::seconds(3);
// Below the time after which a QuotaGate forgets a team, so that its new counters are not compared
// with those from before.
constexpr core::Duration idleTime = std::chrono::seconds(30);

UsageDelta difference(const TeamCounters &later, const TeamCounters &earlier)
{
    // Counters that fell within an incarnation were reset, since the team was removed and added.
    const bool isReset = later.requested < earlier.requested || later.passed < earlier.passed;
    const TeamCounters from = isReset ? TeamCounters {} : earlier;
    return {static_cast<double>(later.requested - from.requested),
            static_cast<double>(later.passed - from.passed),
            static_cast<double>(later.charged - from.charged)};
}

} // namespace

bool UsageSource::accept(std::uint64_t incarnation, const UsageReport &report, core::Instant now,
                         std::map<std::string, UsageDelta> &deltas)
{
    if (incarnation < m_incarnation && now - m_heardAt < incarnationExpiry)
        return false;
    if (incarnation != m_incarnation) {
        m_incarnation = incarnation;
        m_sequence = 0;
        m_held.clear();
    }
    if (report.sequence <= m_sequence)
        return false;
    m_sequence = report.sequence;
    m_heardAt = now;
    for (const auto &[team, usage] : report.teams) {
        const auto [held, isNew] = m_held.try_emplace(team);
        // A base that is later than the own counters was acknowledged by another coordinator, which
        // has counted what came before.
        const bool countsFromBase = isNew || held->second.sequence < report.baseSequence;
        deltas[team] = difference(usage.total, countsFromBase ? usage.base : held->second.counters);
        held->second = {usage.total, report.sequence, now};
    }
    return true;
}

void UsageSource::dropIdle(core::Instant now)
{
    std::erase_if(m_held, [now](const auto &entry) { return now - entry.second.at > idleTime; });
}

} // namespace sardinehollow::routing
