#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_standin/store/StoreEvent.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace sardinehollow::standin {

/**
 * An in-memory key-value store with the revisions, leases and event history of etcd. Safe for
 * concurrent use.
 */
class MemoryStore
{
public:
    using Entry = std::pair<std::string, StoredValue>;

    /** Requires a modification revision of a key; 0 requires that the key is absent. */
    struct Condition
    {
        std::string key;
        std::int64_t modRevision = 0;
    };

    /** A write of a key; without a value it deletes the key. A lease of 0 means no lease. */
    struct Operation
    {
        std::string key;
        std::optional<std::string> value;
        std::int64_t lease = 0;
    };

    /** Entries with the revision of the store at which they were read. */
    struct Range
    {
        std::vector<Entry> entries;
        std::int64_t revision = 0;
    };

    /** The data that snapshot() saves and restore() brings back. */
    struct Snapshot
    {
        std::map<std::string, StoredValue> values;
        std::int64_t revision = 1;
    };

    /** The history retains at most the given number of changes. */
    MemoryStore(const core::MonotonicClock &clock, std::size_t historyLimit);

    /**
     * Returns the entries with keys in [key, end). An empty end selects the key alone, and a single
     * NUL selects all keys from the given one on.
     */
    Range range(const std::string &key, const std::string &end);
    /** Applies the operations atomically if all conditions hold; returns whether they did. */
    bool transact(const std::vector<Condition> &conditions,
                  const std::vector<Operation> &operations);
    std::int64_t grantLease(std::chrono::seconds lifetime);
    /** Renews a lease; returns its lifetime in seconds, or 0 if it has expired. */
    std::int64_t keepAliveLease(std::int64_t id);
    void revokeLease(std::int64_t id);
    std::int64_t revision();
    /** Expires all leases at once and deletes their keys. */
    void expireAllLeases();
    Snapshot snapshot();
    /** Restores older data, which simulates a rollback; drops all leases and the history. */
    void restore(const Snapshot &snapshot);
    /** Number of times that older data was restored. */
    std::int64_t restoreCount();
    /** Oldest revision whose changes are retained; a watch from an earlier one is rejected. */
    std::int64_t compactRevision();

    /**
     * Waits for events of the key range from the given revision on; returns none if the time-out
     * passes without one.
     */
    std::vector<StoreEvent> waitForEvents(const std::string &key, const std::string &end,
                                          std::int64_t fromRevision,
                                          std::chrono::milliseconds timeout);

private:
    struct LeaseState
    {
        core::Duration lifetime {0};
        core::Instant expiry {0};
    };

    void expireLeases();
    void appendToHistory(StoreEvent event);
    void deleteLeaseKeys(std::int64_t id);
    void applyOperation(const Operation &operation);

    const core::MonotonicClock &m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, StoredValue> m_values;
    std::map<std::int64_t, LeaseState> m_leases;
    const std::size_t m_historyLimit;
    std::deque<StoreEvent> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_compactRevision = 0;
    std::int64_t m_nextLease = 1;
    std::int64_t m_restoreCount = 0;
};

} // namespace sardinehollow::standin
