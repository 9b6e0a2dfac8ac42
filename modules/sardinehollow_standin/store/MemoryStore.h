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

/** An in-memory store with the revisions, leases and history of etcd. Safe for concurrent use. */
class MemoryStore
{
public:
    using Entry = std::pair<std::string, StoredValue>;

    /** A condition on a key; the key is given as absent by revision 0. */
    struct Condition
    {
        std::string key;
        std::int64_t modRevision = 0;
    };

    /** A write; without a value it deletes the key. */
    struct Operation
    {
        std::string key;
        std::optional<std::string> value;
        std::int64_t lease = 0;
    };

    /** Keys with the revision of the store at which they were read. */
    struct Range
    {
        std::vector<Entry> entries;
        std::int64_t revision = 0;
    };

    /** What is kept by snapshot() and returns with restore(). */
    struct Snapshot
    {
        std::map<std::string, StoredValue> values;
        std::int64_t revision = 1;
    };

    /** The history holds at most the given number of changes. */
    MemoryStore(const core::MonotonicClock &clock, std::size_t historyLimit);

    /** Keys in [key, end); an empty end means the key alone, a single NUL means all from the key
     * on. */
    Range range(const std::string &key, const std::string &end);
    /** Applies the operations if all conditions hold; returns whether they did. */
    bool transact(const std::vector<Condition> &conditions,
                  const std::vector<Operation> &operations);
    std::int64_t grantLease(std::chrono::seconds lifetime);
    /** Returns the lifetime in seconds, or 0 if the lease has lapsed. */
    std::int64_t keepAliveLease(std::int64_t id);
    void revokeLease(std::int64_t id);
    std::int64_t revision();
    /** Ends all leases at once and deletes their keys. */
    void lapseLeases();
    Snapshot snapshot();
    /** Returns to older data; all leases and the history are gone. */
    void restore(const Snapshot &snapshot);
    /** Oldest revision whose changes are still known; a watch from before it is refused. */
    std::int64_t compactRevision();

    /** Waits for events of the range with a revision of at least the given one; empty on time-out.
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
    void remember(StoreEvent event);
    void dropLeaseKeys(std::int64_t id);
    void apply(const Operation &operation);

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
};

} // namespace sardinehollow::standin
