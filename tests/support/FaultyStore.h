#pragma once

#include "support/FakeStore.h"

namespace sardinehollow::tests {

/** One client's connection to a FakeStore, with faults that concern this client only. */
class FaultyStore : public platform::KeyValueStore
{
public:
    enum class Fault {
        None,
        /** Calls do not reach the store. */
        Down,
        /** Writes take effect, and their replies are lost. */
        LoseReplies,
        /** The next write takes effect and its reply is lost; then the store is down. */
        LoseReplyThenDown,
        /** Writes are lost on the way, which the client cannot tell. */
        LoseRequests,
        /** Writes are reported as unknown and take effect at applyDelayed. */
        Delay,
    };

    explicit FaultyStore(FakeStore &store);

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

    const platform::CallCounters &callCounters() const override { return m_store.callCounters(); }

    void applyDelayed();

    Fault fault = Fault::None;
    /** Number of further calls that the fault concerns; negative for all. */
    int faultyCalls = -1;

private:
    struct Delayed
    {
        std::vector<platform::Compare> conditions;
        std::vector<platform::Write> writes;
    };

    /** Returns the fault of the next call. */
    Fault take();

    FakeStore &m_store;
    std::vector<Delayed> m_delayed;
};

} // namespace sardinehollow::tests
