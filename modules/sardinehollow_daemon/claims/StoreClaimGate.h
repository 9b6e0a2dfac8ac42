#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_entry/claims/ClaimGate.h"
#include "sardinehollow_platform/store/KeyValueStore.h"

#include <deque>
#include <functional>
#include <mutex>
#include <optional>

namespace sardinehollow::daemon {

/**
 * Claims unscoped keys. Each key has one record in the platform's store, created by compare-and-
 * swap. A record names the claim that owns it and is changed or deleted for that claim only. Safe
 * for concurrent use, except that sweep() is called from one thread only.
 */
class StoreClaimGate : public entry::ClaimGate
{
public:
    /** Returns the time since the Unix epoch. */
    using WallClock = std::function<std::chrono::seconds()>;
    /** Blocks the calling thread for the given time. */
    using Sleep = std::function<void(core::Duration)>;

    /** The owner identifies this run of the daemon: VM and incarnation. */
    StoreClaimGate(platform::KeyValueStore &store, const core::MonotonicClock &clock,
                   WallClock wallClock, Sleep sleep, const std::string &deployment,
                   std::string owner);

    entry::ClaimAnswer begin(const entry::ClaimRequest &request) override;
    void finish(const entry::ClaimRequest &request, int status, const std::string &body) override;
    void release(const entry::ClaimRequest &request) override;

    /** Retries the updates that the store did not accept; stops at the first failure. */
    void retryPendingUpdates();
    std::size_t pendingUpdateCount() const;
    /** Deletes expired records of one of 256 partitions; successive calls cycle through them. */
    void sweep();

private:
    /** The end of a claim that is not stored yet. */
    struct PendingUpdate
    {
        std::string key;
        std::string claim;
        /** New text of the record; nothing to delete the record. */
        std::optional<std::string> text;
        /** The update is dropped if it has not succeeded by then. */
        core::Instant retryUntil {0};
        /** Until then a delayed call may still create a record that is absent now. */
        core::Instant recheckUntil {0};
    };

    enum class ApplyResult {
        Done,
        /** There is no record. */
        Absent,
        Failed,
    };

    /** Answers from the key's record; nothing if the claim that owned it has been released. */
    std::optional<entry::ClaimAnswer> readRecord(const entry::ClaimRequest &request,
                                                 const std::string &key, std::uint64_t claimNumber,
                                                 bool claimedByOther);
    /**
     * Answers from a record's text; nothing if the request of another claim may still be running,
     * so that its outcome may be stored shortly.
     */
    std::optional<entry::ClaimAnswer> answerFromRecord(const std::string &record,
                                                       const entry::ClaimRequest &request,
                                                       std::uint64_t claimNumber) const;
    /** Refuses the request and deletes the record that its creation may have left. */
    entry::ClaimAnswer refuseAndDelete(const std::string &key, std::uint64_t claimNumber);
    ApplyResult apply(const PendingUpdate &update);
    void enqueue(PendingUpdate update);
    std::int64_t expiryTime(std::chrono::seconds retention) const;
    std::string claimText(std::uint64_t claimNumber) const;
    std::string recordKey(const entry::ClaimRequest &request) const;

    platform::KeyValueStore &m_store;
    const core::MonotonicClock &m_clock;
    const WallClock m_wallClock;
    const Sleep m_sleep;
    const std::string m_prefix;
    const std::string m_owner;
    mutable std::mutex m_mutex;
    std::uint64_t m_lastClaimNumber = 0;
    std::deque<PendingUpdate> m_pendingUpdates;
    /** Used by sweep() only. */
    std::uint64_t m_nextSweepPartition;
};

} // namespace sardinehollow::daemon
