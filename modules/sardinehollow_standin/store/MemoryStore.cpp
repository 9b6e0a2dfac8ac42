#include "sardinehollow_standin/store/MemoryStore.h"

namespace sardinehollow::standin {

namespace {

bool isInRange(const std::string &candidate, const std::string &key, const std::string &end)
{
    if (end.empty())
        return candidate == key;
    if (end == std::string(1, '\0'))
        return candidate >= key;
    return candidate >= key && candidate < end;
}

} // namespace

MemoryStore::MemoryStore(const core::MonotonicClock &clock, std::size_t historyLimit)
    : m_clock(clock)
    , m_historyLimit(historyLimit)
{ }

MemoryStore::Range MemoryStore::range(const std::string &key, const std::string &end)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    Range result;
    // Clients start their watch from this revision, so it must be the one at which the entries were
    // read.
    result.revision = m_revision;
    for (auto item = m_values.lower_bound(key); item != m_values.end(); ++item) {
        if (!isInRange(item->first, key, end))
            break;
        result.entries.push_back(*item);
    }
    return result;
}

bool MemoryStore::transact(const std::vector<Condition> &conditions,
                           const std::vector<Operation> &operations)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    for (const Condition &condition : conditions) {
        const auto found = m_values.find(condition.key);
        const std::int64_t modRevision = found == m_values.end() ? 0 : found->second.modRevision;
        if (modRevision != condition.modRevision)
            return false;
    }
    if (operations.empty())
        return true;
    ++m_revision;
    for (const Operation &operation : operations)
        applyOperation(operation);
    m_changed.notify_all();
    return true;
}

std::int64_t MemoryStore::grantLease(std::chrono::seconds lifetime)
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t id = m_nextLease++;
    m_leases[id] = {lifetime, m_clock.now() + lifetime};
    return id;
}

std::int64_t MemoryStore::keepAliveLease(std::int64_t id)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return 0;
    found->second.expiry = m_clock.now() + found->second.lifetime;
    return std::chrono::duration_cast<std::chrono::seconds>(found->second.lifetime).count();
}

void MemoryStore::revokeLease(std::int64_t id)
{
    const std::lock_guard lock(m_mutex);
    if (m_leases.erase(id) != 0)
        deleteLeaseKeys(id);
}

std::int64_t MemoryStore::revision()
{
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

void MemoryStore::expireAllLeases()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, lease] : m_leases)
        lease.expiry = core::Instant(0);
    expireLeases();
}

MemoryStore::Snapshot MemoryStore::snapshot()
{
    const std::lock_guard lock(m_mutex);
    return {m_values, m_revision};
}

void MemoryStore::restore(const Snapshot &snapshot)
{
    const std::lock_guard lock(m_mutex);
    m_values = snapshot.values;
    m_revision = snapshot.revision;
    m_leases.clear();
    m_history.clear();
    m_compactRevision = 0;
    // Ids of leases are given out again as well.
    m_nextLease = 1;
    ++m_restoreCount;
    m_changed.notify_all();
}

std::int64_t MemoryStore::restoreCount()
{
    const std::lock_guard lock(m_mutex);
    return m_restoreCount;
}

std::int64_t MemoryStore::compactRevision()
{
    const std::lock_guard lock(m_mutex);
    return m_compactRevision;
}

std::vector<StoreEvent> MemoryStore::waitForEvents(const std::string &key, const std::string &end,
                                                   std::int64_t fromRevision,
                                                   std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    std::vector<StoreEvent> events;
    m_changed.wait_for(lock, timeout, [&] {
        for (const StoreEvent &event : m_history) {
            const bool matches
                    = event.stored.modRevision >= fromRevision && isInRange(event.key, key, end);
            if (matches)
                events.push_back(event);
        }
        return !events.empty();
    });
    return events;
}

void MemoryStore::expireLeases()
{
    const core::Instant now = m_clock.now();
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.expiry <= now)
            expired.push_back(id);
    }
    for (const std::int64_t id : expired) {
        m_leases.erase(id);
        deleteLeaseKeys(id);
    }
}

void MemoryStore::appendToHistory(StoreEvent event)
{
    m_history.push_back(std::move(event));
    while (m_history.size() > m_historyLimit) {
        m_compactRevision = m_history.front().stored.modRevision + 1;
        m_history.pop_front();
    }
}

void MemoryStore::deleteLeaseKeys(std::int64_t id)
{
    std::vector<std::string> keys;
    for (const auto &[key, stored] : m_values) {
        if (stored.lease == id)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    ++m_revision;
    for (const std::string &key : keys)
        applyOperation({key, std::nullopt, 0});
    m_changed.notify_all();
}

void MemoryStore::applyOperation(const Operation &operation)
{
    if (!operation.value) {
        if (m_values.erase(operation.key) == 0)
            return;
        StoreEvent event {operation.key, {}, true};
        event.stored.modRevision = m_revision;
        appendToHistory(std::move(event));
        return;
    }
    StoredValue &stored = m_values[operation.key];
    if (stored.version == 0)
        stored.createRevision = m_revision;
    stored.value = *operation.value;
    stored.modRevision = m_revision;
    stored.lease = operation.lease;
    ++stored.version;
    appendToHistory({operation.key, stored, false});
}

} // namespace sardinehollow::standin
