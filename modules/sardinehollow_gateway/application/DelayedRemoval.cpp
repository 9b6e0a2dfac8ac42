#include "sardinehollow_gateway/application/DelayedRemoval.h"

namespace sardinehollow::gateway {

DelayedRemoval::DelayedRemoval(core::Duration reappearanceTime)
    : m_reappearanceTime(reappearanceTime)
{ }

bool DelayedRemoval::onMissing(const std::string &key, core::Instant now)
{
    const core::Instant due = m_regainedAt + m_reappearanceTime;
    if (now >= due)
        return true;
    m_due.emplace(key, due);
    return false;
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
