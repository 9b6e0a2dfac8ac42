#include "sardinehollow_sharing/feed/ChangeHistory.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace sardinehollow::sharing {

namespace {

// Below the largest message between daemons, so that one frame takes all changes.
constexpr std::size_t maximumBytes = 768 * 1024;
// Size of a change besides its key and value, in a message and in memory.
constexpr std::size_t overheadBytes = 64;

std::size_t sizeOf(const platform::KeyValue &change)
{
    return change.key.size() + change.value.size() + overheadBytes;
}

} // namespace

void ChangeHistory::reset(std::int64_t revision)
{
    m_changes.clear();
    m_bytes = 0;
    m_discardedRevision = revision;
    m_revision = revision;
}

void ChangeHistory::append(const std::vector<platform::KeyValue> &changes, std::int64_t revision)
{
    for (const platform::KeyValue &change : changes) {
        m_bytes += sizeOf(change);
        m_changes.push_back(change);
    }
    m_revision = std::max(m_revision, revision);
    while (m_bytes > maximumBytes) {
        // Changes of one transaction have the same revision; a part of them would be taken for all.
        m_discardedRevision = std::max(m_discardedRevision, m_changes.front().modRevision);
        m_bytes -= sizeOf(m_changes.front());
        m_changes.pop_front();
    }
}

std::optional<std::vector<platform::KeyValue>>
ChangeHistory::changesAfter(std::int64_t revision) const
{
    if (revision < m_discardedRevision)
        return std::nullopt;
    // The last change of a key replaces the earlier ones.
    std::vector<platform::KeyValue> changes;
    std::set<std::string_view> keys;
    for (auto change = m_changes.rbegin(); change != m_changes.rend(); ++change) {
        if (change->modRevision > revision && keys.insert(change->key).second)
            changes.push_back(*change);
    }
    std::reverse(changes.begin(), changes.end());
    return changes;
}

} // namespace sardinehollow::sharing
