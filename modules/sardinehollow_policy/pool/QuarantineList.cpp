#include "sardinehollow_policy/pool/QuarantineList.h"

#include <algorithm>

namespace sardinehollow::policy {

bool QuarantineList::contains(std::uint64_t fingerprint, core::Instant now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_quarantined.find(fingerprint);
    return found != m_quarantined.end() && now < found->second.expires;
}

void QuarantineList::onConnectionLost(std::uint64_t fingerprint, const std::string &server,
                                      core::Instant now)
{
    if (fingerprint == 0)
        return;
    const std::lock_guard lock(m_mutex);
    const auto found = m_suspicions.find(fingerprint);
    const bool suspected = found != m_suspicions.end() && now < found->second.expires;
    if (suspected && found->second.server != server) {
        m_suspicions.erase(found);
        insert(fingerprint, {now + m_settings.quarantineTime, true}, now);
        return;
    }
    if (!suspected && m_suspicions.size() >= m_settings.quarantineLimit)
        std::erase_if(m_suspicions, [now](const auto &item) { return item.second.expires <= now; });
    if (suspected || m_suspicions.size() < m_settings.quarantineLimit)
        m_suspicions[fingerprint] = {server, now + m_settings.quarantineTime};
}

void QuarantineList::onCompleted(std::uint64_t fingerprint)
{
    const std::lock_guard lock(m_mutex);
    if (!m_suspicions.empty())
        m_suspicions.erase(fingerprint);
}

void QuarantineList::merge(const std::vector<QuarantineEntry> &entries, core::Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (const QuarantineEntry &entry : entries) {
        if (entry.fingerprint == 0 || entry.remaining.count() <= 0)
            continue;
        insert(entry.fingerprint,
               {now + std::min(entry.remaining, m_settings.quarantineTime), false}, now);
    }
}

std::vector<QuarantineEntry> QuarantineList::localEntries(core::Instant now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<QuarantineEntry> entries;
    for (const auto &[fingerprint, quarantined] : m_quarantined) {
        if (quarantined.foundLocally && now < quarantined.expires)
            entries.push_back({fingerprint, quarantined.expires - now});
    }
    std::sort(entries.begin(), entries.end(), [](const auto &left, const auto &right) {
        return left.fingerprint < right.fingerprint;
    });
    return entries;
}

void QuarantineList::insert(std::uint64_t fingerprint, const Quarantined &quarantined,
                            core::Instant now)
{
    std::erase_if(m_quarantined, [now](const auto &item) { return item.second.expires <= now; });
    if (m_quarantined.size() < m_settings.quarantineLimit)
        m_quarantined.emplace(fingerprint, quarantined);
}

} // namespace sardinehollow::policy
