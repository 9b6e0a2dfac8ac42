#pragma once

#include "sardinehollow_peer/claims/ClaimJournal.h"
#include "sardinehollow_peer/claims/ClaimKindRules.h"
#include "sardinehollow_peer/claims/ClaimResponse.h"
#include "sardinehollow_peer/claims/ClaimServiceSettings.h"
#include "sardinehollow_peer/claims/ClaimTable.h"
#include "sardinehollow_peer/claims/ScopedKey.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace sardinehollow::peer {

/**
 * Owns the scope of one failure domain: grants claims on its idempotency keys, so that a request
 * runs at most once. The revision of the epoch record serves as the fencing token for journal
 * appends. A state machine without I/O: the caller passes in each event with its time, executes the
 * journal requests one at a time and reports each result. Not safe for concurrent use.
 */
class ClaimService
{
public:
    using Responses = std::vector<ClaimResponse>;

    explicit ClaimService(ClaimServiceSettings settings);

    /** Sets whether the local daemon is the designated owner of the scope. */
    void setOwner(bool owner);
    /**
     * Sets the claim rules. A new epoch is taken if the work kinds that are granted in memory
     * differ from those of the current epoch or the longest retention has grown.
     */
    void setKinds(const ClaimKinds &kinds);
    void setBatchInterval(core::Duration interval);
    /** Sets the time since the Unix epoch; used only for the ends of epochs and their retention. */
    void setWallClock(std::chrono::seconds now);

    /** Handles a call; the response is returned here, or later from onJournalResult or advance. */
    Responses handle(const ClaimCall &call, core::Instant now);
    /** Returns the next journal request, or nothing if none is due or one is in flight. */
    std::optional<JournalRequest> nextRequest(core::Instant now);
    Responses onJournalResult(const JournalResult &result, core::Instant now);
    /** Refuses begin calls whose journal append has timed out. */
    Responses advance(core::Instant now);

    /** Scope to return in look-up answers; empty while the service cannot grant claims. */
    std::string scope() const;
    bool isServing() const { return m_serving; }
    bool isStoreDown() const { return m_storeDown; }
    std::size_t claimCount() const { return m_table.size(); }

private:
    /** A record that is not yet known to be in the journal. */
    struct QueuedRecord
    {
        wire::ClaimRecord record;
        ClaimId id;
        /** Whether the response is sent when the record is committed. */
        bool awaited = false;
        core::Instant waitDeadline {0};
    };

    Responses begin(const ClaimCall &call, const ScopedKey &scoped, core::Instant now);
    ClaimVerdict verdictFor(const ClaimCall &call, const ClaimEntry &entry,
                            core::Instant now) const;
    Responses finish(const ClaimCall &call, const ScopedKey &scoped);
    Responses release(const ClaimCall &call);
    /**
     * Whether the table holds every claim of the epoch and work kind, so that a request whose key
     * is absent is known not to have run.
     */
    bool hasCompleteHistory(const wire::ClaimEpoch &epoch, const std::string &workKind) const;
    /** Whether a key may be granted before its claim is in the journal. */
    bool grantsInMemory(std::uint64_t epoch, const std::string &workKind) const;
    /** Whether the lease is valid by the local clock, so that no other daemon can own the scope. */
    bool holdsLease(core::Instant now) const;
    /**
     * Refuses a key that has no claim in the table; the refusal is confirmed only while the lease
     * is valid.
     */
    ClaimResponse refuseUnclaimed(const ClaimId &id, policy::RefusalReason reason,
                                  core::Instant now) const;
    const wire::ClaimEpoch *epochOf(std::uint64_t number) const;
    void enqueue(const ClaimCall &call, wire::ClaimRecord::Kind kind, bool awaited,
                 core::Instant waitDeadline);
    void enqueueRelease(const wire::ClaimRecord &begun);
    void rememberReleased(const std::string &claim);
    void stopAwaiting(const std::string &claim);
    void grantAwaitedInMemory(std::deque<QueuedRecord> &records, Responses &responses);
    void refuseTimedOut(std::deque<QueuedRecord> &records, bool maybeWritten, core::Instant now,
                        Responses &responses);

    std::optional<JournalRequest> acquireRequest(core::Instant now);
    std::optional<JournalRequest> appendRequest(core::Instant now);
    JournalRequest takeEpochRequest() const;
    wire::ClaimEpochs nextEpochs() const;
    bool needsNewEpoch(core::Instant now) const;
    std::vector<std::string> inMemoryKinds() const;
    std::int64_t longestRetention() const;

    void onEpochsRead(const JournalResult &result, core::Instant now, Responses &responses);
    void onEpochTaken(const JournalRequest &request, const JournalResult &result,
                      core::Instant now);
    void onEpochLoaded(const JournalResult &result);
    void onAppended(Responses &responses);
    void onFailure(core::Instant now, Responses &responses);
    /**
     * Clears all state after a resignation or after another daemon took the scope; refuses waiting
     * calls.
     */
    void loseOwnership(Responses &responses);

    ClaimServiceSettings m_settings;
    ClaimKinds m_kinds;
    std::int64_t m_wallSeconds = 0;
    bool m_owner = false;
    bool m_serving = false;
    bool m_storeDown = false;
    bool m_leaseExpired = false;

    ClaimTable m_table;
    std::set<std::string> m_released;
    std::deque<std::string> m_releasedOrder;

    /** Epoch record that this service wrote; an append succeeds only at the record's revision. */
    wire::ClaimEpochs m_epochs;
    std::int64_t m_epochRevision = 0;
    std::int64_t m_leaseId = 0;
    std::uint64_t m_sequence = 0;
    std::size_t m_epochBytes = 0;
    core::Instant m_epochStart {0};
    /** Epochs that this process took and has owned without interruption since. */
    std::set<std::uint64_t> m_continuousEpochs;
    /** Epochs that this service is taking, or has tried to take with an unknown result. */
    std::set<std::uint64_t> m_attemptedEpochs;
    std::deque<std::uint64_t> m_epochsToLoad;
    /** Latest epoch whose journal contains a batch that cannot be parsed; 0 if there is none. */
    std::uint64_t m_unreadableUpTo = 0;

    std::deque<QueuedRecord> m_queue;
    /** Records of the batch that is being appended or whose append has an unknown result. */
    std::deque<QueuedRecord> m_batch;
    std::string m_batchText;

    std::optional<JournalRequest> m_requestInFlight;
    /** Result of ReadEpochs, until the TakeEpoch request that follows it is answered. */
    std::optional<JournalResult> m_readEpochs;
    core::Instant m_lastAppend {0};
    core::Instant m_lastRenewal {0};
    core::Instant m_requestStart {0};
    /** Start of the last request that is known to have taken or renewed the lease. */
    core::Instant m_leaseStart {0};
    core::Instant m_nextAttempt {0};
    core::Duration m_retryDelay {0};
};

} // namespace sardinehollow::peer
