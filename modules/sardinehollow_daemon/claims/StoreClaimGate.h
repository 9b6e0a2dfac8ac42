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
 * Claims each key by one compare-and-swap record in the platform's store. A record names the claim
 * that holds it and is changed or deleted for that claim only. Safe for concurrent use.
 */
class StoreClaimGate : public entry::ClaimGate
{
public:
    /** Returns the time since the Unix epoch. */
    using WallClock = std::function<std::chrono::seconds()>;
    /** Blocks the calling thread for the given time. */
    using Wait = std::function<void(core::Duration)>;

    /** The owner names this run of the daemon. */
    StoreClaimGate(platform::KeyValueStore &store, const core::MonotonicClock &clock,
                   WallClock wallClock, Wait wait, const std::string &deployment,
                   std::string owner);

    entry::ClaimAnswer begin(const entry::ClaimRequest &request) override;
    void finish(const entry::ClaimRequest &request, int status, const std::string &body) override;
    void release(const entry::ClaimRequest &request) override;

    /** Repeats reports that the store did not take; stops at the first failure. */
    void poll();
    std::size_t openReports() const;
    /** Deletes records past their retention from the next of 256 parts of all records. */
    void sweep();

private:
    /** The end of a claim: a record text, or nothing to delete the record. */
    struct Report
    {
        std::string key;
        std::string claim;
        std::optional<std::string> text;
        core::Instant limit {0};
        /** Until then an absent record may still be written by a call that was delayed. */
        core::Instant absentUntil {0};
    };

    enum class Applied {
        Done,
        /** There is no record. */
        Absent,
        Failed,
    };

    /** Returns nothing if the claim that held the key has been released. */
    std::optional<entry::ClaimAnswer> readRecord(const entry::ClaimRequest &request,
                                                 const std::string &key, std::uint64_t number,
                                                 bool heldByOther);
    /** Answers from a record of another claim; nothing if its outcome may be about to be written.
     */
    std::optional<entry::ClaimAnswer> answerFrom(const std::string &record,
                                                 const entry::ClaimRequest &request,
                                                 std::uint64_t number) const;
    entry::ClaimAnswer abandon(const std::string &key, std::uint64_t number);
    Applied apply(const Report &report);
    void report(Report report);
    std::int64_t expiry(std::chrono::seconds retention) const;
    std::string claimText(std::uint64_t number) const;
    std::string recordKey(const entry::ClaimRequest &request) const;

    platform::KeyValueStore &m_store;
    const core::MonotonicClock &m_clock;
    const WallClock m_wallClock;
    const Wait m_wait;
    const std::string m_prefix;
    const std::string m_owner;
    mutable std::mutex m_mutex;
    std::uint64_t m_lastNumber = 0;
    std::deque<Report> m_reports;
    /** Used by sweep only. */
    std::uint64_t m_nextPart;
};

} // namespace sardinehollow::daemon
