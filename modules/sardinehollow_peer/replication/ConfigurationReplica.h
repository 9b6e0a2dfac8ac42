#pragma once

#include "sardinehollow_core/random/RandomSource.h"
#include "sardinehollow_peer/replication/ReplicaActions.h"
#include "sardinehollow_peer/replication/ReplicaRoster.h"
#include "sardinehollow_peer/replication/ReplicaTimes.h"

#include <deque>
#include <optional>

namespace sardinehollow::peer {

/**
 * Replicates the latest accepted configuration to one daemon. The relay of a failure domain watches
 * the store, and requests the configuration from other failure domains while the store does not
 * answer; the other daemons receive it from the relay. The generation never decreases. A state
 * machine without I/O: the caller passes in each event with its time and carries out the returned
 * actions. Not safe for concurrent use.
 */
class ConfigurationReplica
{
public:
    ConfigurationReplica(ReplicaTimes times, core::RandomSource &random, core::Instant now);

    /** To be called about every 100 ms. */
    ReplicaActions advance(const ReplicaRoster &roster, core::Instant now);
    ReplicaActions onMessage(const wire::Envelope &envelope, core::Instant now);
    /**
     * The store's head was read and the watch started; no head if no configuration was submitted
     * yet.
     */
    ReplicaActions onWatchStarted(const std::optional<ReplicaHead> &head, core::Instant now);
    /** The watch reported a new head. */
    ReplicaActions onStoreHead(const ReplicaHead &head, core::Instant now);
    /** The store did not answer, or the watch ended. */
    void onStoreLost(core::Instant now);
    /** A part was read from the store; the text is empty if the read failed. */
    ReplicaActions onStorePart(const std::string &digest, const std::string &text,
                               core::Instant now);

    std::uint64_t generation() const { return m_content ? m_content->head.generation : 0; }
    std::shared_ptr<const ReplicaContent> content() const { return m_content; }
    bool isWatching() const { return m_watching; }
    /** Number of heads of the store whose generation was lower than the local one. */
    std::uint64_t lowerHeads() const { return m_lowerHeads; }
    /** Number of heads of the local generation whose content differed. */
    std::uint64_t conflictingHeads() const { return m_conflictingHeads; }
    /** Highest generation read from the store since the daemon started. */
    std::uint64_t storeGeneration() const { return m_storeGeneration; }

private:
    /** A configuration whose parts are being downloaded. */
    struct Download
    {
        ReplicaHead head;
        /** VM of the daemon to download from; empty for the store. */
        std::string source;
        std::vector<std::string> digests;
        std::map<std::string, std::shared_ptr<const std::string>> texts;
        std::string wantedDigest;
        std::string partialText;
        core::Instant requestedAt {0};
    };

    ReplicaActions considerHead(const ReplicaHead &head, const std::string &source,
                                core::Instant now);
    ReplicaActions considerStoreHead(const ReplicaHead &head, core::Instant now);
    std::shared_ptr<const ReplicaContent> applyDelta(const ReplicaHead &head) const;
    ReplicaActions adopt(std::shared_ptr<const ReplicaContent> content);
    ReplicaActions continueDownload(core::Instant now);
    ReplicaActions addPart(const std::string &digest, std::shared_ptr<const std::string> text,
                           core::Instant now);
    /**
     * Adds the parts that are already available locally; returns the digest of the first missing
     * part, or an empty string.
     */
    std::string collectLocalParts();
    ReplicaActions onAnnouncement(const wire::Envelope &envelope, core::Instant now);
    ReplicaActions onRequest(const wire::Envelope &envelope) const;
    ReplicaActions onParts(const wire::Envelope &envelope, core::Instant now);
    OutgoingMessage makePieceReply(const std::string &vm,
                                   const wire::ConfigurationRequest &request) const;
    OutgoingMessage makeHeadsReply(const std::string &vm, std::uint64_t generation) const;
    std::shared_ptr<const std::string> findText(const std::string &digest) const;
    ReplicaActions updateWatch(core::Instant now);
    ReplicaActions requestFromPeers(core::Instant now);
    void chooseSource(core::Instant now);
    std::vector<std::string> sourcesAbove(std::uint64_t generation) const;
    core::Duration jittered(core::Duration duration);

    const ReplicaTimes m_times;
    core::RandomSource &m_random;
    const core::Instant m_started;
    ReplicaRoster m_roster;
    std::shared_ptr<const ReplicaContent> m_content;
    /** Previous content, from which daemons that are one generation behind can still be served. */
    std::shared_ptr<const ReplicaContent> m_previousContent;
    std::deque<ReplicaHead> m_recentHeads;
    /**
     * Latest head of the store, deferred until the other daemons have reported their generations.
     */
    std::optional<ReplicaHead> m_deferredHead;
    std::optional<Download> m_download;
    std::optional<core::Instant> m_behindSince;
    core::Instant m_nextRequestTime {0};
    bool m_watching = false;
    bool m_watchPending = false;
    core::Instant m_nextWatchAttempt {0};
    core::Duration m_backOff {0};
    std::uint64_t m_lowerHeads = 0;
    std::uint64_t m_conflictingHeads = 0;
    std::uint64_t m_storeGeneration = 0;
};

} // namespace sardinehollow::peer
