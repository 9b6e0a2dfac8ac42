#include "sardinehollow_gateway/application/DelayedRemoval.h"

namespace sardinehollow::gateway {

namespace {

// When a store has been down all leases may lapse. When only this daemon could not reach it, the
// few keys that are missing belong to holders that have left.
constexpr double lapsedShare = 0.5;

} // namespace

DelayedRemoval::DelayedRemoval(core::Duration reappearanceTime)
    : m_reappearanceTime(reappearanceTime)
{ }

std::vector<std::string> DelayedRemoval::onMissing(const std::vector<std::string> &keys,
                                                   std::size_t removed, std::size_t known,
                                                   core::Instant now)
{
    const core::Instant due = m_regainedAt + m_reappearanceTime;
    const bool haveLapsed = static_cast<double>(removed) > lapsedShare * static_cast<double>(known);
    if (now >= due || !haveLapsed)
        return keys;
    for (const std::string &key : keys)
        m_due.emplace(key, due);
    return {};
}

std::vector<std::string> DelayedRemoval::takeDue(core::Instant now)
{
    std::vector<std::string> keys;
    for (auto entry = m_due.begin(); entry != m_due.end();) {
        if (entry->second > now) {
            ++entry;
            continue;
        }
        keys.push_back(entry->first);
        entry = m_due.erase(entry);
    }
    return keys;
}

} // namespace sardinehollow::gateway
