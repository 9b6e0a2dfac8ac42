#include "sardinehollow_gateway/application/DelayedRemoval.h"

namespace sardinehollow::gateway {

namespace {

// Share of known keys that must be missing for a mass expiry of leases. After an outage of the
// store all leases may have expired. If only this daemon could not reach the store, few keys are
// missing, and their holders have left.
constexpr double massExpiryShare = 0.5;

} // namespace

DelayedRemoval::DelayedRemoval(core::Duration reappearanceTime)
    : m_reappearanceTime(reappearanceTime)
{ }

std::vector<std::string> DelayedRemoval::onMissing(const std::vector<std::string> &keys,
                                                   std::size_t removed, std::size_t known,
                                                   core::Instant now)
{
    const core::Instant due = m_regainedAt + m_reappearanceTime;
    const bool isMassExpiry
            = static_cast<double>(removed) > massExpiryShare * static_cast<double>(known);
    const bool isRestored = now < m_restoredAt + m_reappearanceTime;
    if (now >= due || !(isMassExpiry || isRestored))
        return keys;
    for (const std::string &key : keys)
        m_dueTimes.emplace(key, due);
    return {};
}

std::vector<std::string> DelayedRemoval::takeDue(core::Instant now)
{
    std::vector<std::string> keys;
    for (auto entry = m_dueTimes.begin(); entry != m_dueTimes.end();) {
        if (entry->second > now) {
            ++entry;
            continue;
        }
        keys.push_back(entry->first);
        entry = m_dueTimes.erase(entry);
    }
    return keys;
}

} // namespace sardinehollow::gateway
