#pragma once

#include "sardinehollow_platform/store/KeyValueStore.h"

#include <map>
#include <mutex>

namespace sardinehollow::tests {

/** The store in memory, with fault switches. Watches are not offered. */
class FakeStore : public platform::KeyValueStore
{
public:
    core::Result<platform::RangeResult> range(platform::CallPurpose purpose, const std::string &key,
                                              bool isPrefix) override;
    core::Result<platform::TransactionResult>
    transact(platform::CallPurpose purpose, const std::vector<platform::Compare> &conditions,
             const std::vector<platform::Write> &writes) override;
    core::Result<platform::Lease> grantLease(platform::CallPurpose purpose,
                                             std::chrono::seconds lifetime) override;
    core::Result<platform::Lease> keepAliveLease(platform::CallPurpose purpose,
                                                 std::int64_t id) override;
    core::Result<void> revokeLease(platform::CallPurpose purpose, std::int64_t id) override;
    core::Result<std::unique_ptr<platform::Watch>>
    watch(platform::CallPurpose purpose, const std::string &key, bool isPrefix,
          std::int64_t afterRevision, platform::WatchListener &listener) override;

    const platform::CallCounters &callCounters() const override { return m_counters; }

    /** Moves the store's clock; leases that lapse take their keys with them. */
    void advance(std::chrono::nanoseconds duration);

    /** Every call fails as Unreachable. */
    bool outage = false;
    /** The next transactions take effect and fail as ResultUnknown, this many times. */
    int lostReplies = 0;
    /** Transactions that delete fail as Unreachable. */
    bool failDeletes = false;
    int calls = 0;
    int writes = 0;
    std::map<std::string, platform::KeyValue> values;

private:
    struct LeaseState
    {
        std::chrono::seconds lifetime {0};
        std::chrono::nanoseconds expiry {0};
    };

    void dropLeaseKeys(std::int64_t id);

    platform::CallCounters m_counters;
    std::mutex m_mutex;
    std::int64_t m_revision = 1;
    std::int64_t m_nextLease = 1;
    std::chrono::nanoseconds m_now {0};
    std::map<std::int64_t, LeaseState> m_leases;
};

} // namespace sardinehollow::tests
