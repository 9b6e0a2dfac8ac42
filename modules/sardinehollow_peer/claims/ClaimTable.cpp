#include "sardinehollow_peer/claims/ClaimTable.h"

#include "sardinehollow_peer/claims/ScopedKey.h"

namespace sardinehollow::peer {

namespace {

// Estimate for the map node, the bucket and the string headers of one entry.
constexpr std::size_t entryOverheadBytes = 256;

std::string tableKey(const std::string &workKind, const std::string &key)
{
    return workKind + "\n" + key;
}

std::size_t entryBytes(const std::string &tableKey, const ClaimEntry &entry)
{
    return entryOverheadBytes + tableKey.size() + entry.claim.size() + entry.contentDigest.size()
            + entry.body.size();
}

} // namespace

ClaimEntry *ClaimTable::find(const std::string &workKind, const std::string &key)
{
    const auto found = m_entries.find(tableKey(workKind, key));
    return found == m_entries.end() ? nullptr : &found->second;
}

ClaimEntry &ClaimTable::add(const std::string &workKind, const std::string &key, ClaimEntry entry)
{
    const auto [item, added] = m_entries.emplace(tableKey(workKind, key), std::move(entry));
    if (added)
        m_bytes += entryBytes(item->first, item->second);
    return item->second;
}

void ClaimTable::finish(ClaimEntry &entry, int status, const std::string &body)
{
    m_bytes -= entry.body.size();
    entry.state = ClaimEntry::State::Finished;
    entry.status = status;
    entry.body = body;
    m_bytes += entry.body.size();
}

void ClaimTable::erase(const std::string &workKind, const std::string &key)
{
    const auto found = m_entries.find(tableKey(workKind, key));
    if (found == m_entries.end())
        return;
    m_bytes -= entryBytes(found->first, found->second);
    m_entries.erase(found);
}

void ClaimTable::eraseEpoch(std::uint64_t epoch)
{
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        if (item->second.epoch != epoch) {
            ++item;
            continue;
        }
        m_bytes -= entryBytes(item->first, item->second);
        item = m_entries.erase(item);
    }
}

void ClaimTable::clear()
{
    m_entries.clear();
    m_bytes = 0;
}

void ClaimTable::apply(const wire::ClaimRecord &record)
{
    ClaimEntry *entry = find(record.work_kind(), record.key());
    const bool owned = entry != nullptr && entry->claim == record.claim();
    if (record.kind() == wire::ClaimRecord::KIND_RELEASE) {
        if (owned && entry->state != ClaimEntry::State::Finished)
            erase(record.work_kind(), record.key());
        return;
    }
    if (entry == nullptr) {
        const std::optional<ScopedKey> scoped = ScopedKey::parse(record.key());
        ClaimEntry added;
        added.state = ClaimEntry::State::Begun;
        added.claim = record.claim();
        added.contentDigest = record.content_digest();
        added.epoch = scoped ? scoped->epoch : 0;
        entry = &add(record.work_kind(), record.key(), std::move(added));
    }
    const bool finishes = record.kind() == wire::ClaimRecord::KIND_FINISH
            && entry->state != ClaimEntry::State::Finished;
    if (finishes) {
        entry->claim = record.claim();
        entry->contentDigest = record.content_digest();
        finish(*entry, record.status(), record.body());
        entry->recorded = true;
    }
}

} // namespace sardinehollow::peer
