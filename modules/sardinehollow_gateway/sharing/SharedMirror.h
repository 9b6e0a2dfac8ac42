#pragma once

#include "sardinehollow_gateway/peers/PeerLink.h"
#include "sardinehollow_gateway/sharing/EntriesRead.h"
#include "sardinehollow_gateway/sharing/StoreKnowledge.h"
#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_network/loop/EventLoop.h"
#include "sardinehollow_platform/mirror/PrefixMirror.h"
#include "sardinehollow_routing/entries/EntryDirectory.h"
#include "sardinehollow_sharing/feed/ChangeFeed.h"
#include "sardinehollow_sharing/follower/StoreFollower.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sardinehollow::metrics {
class PrometheusWriter;
}

namespace sardinehollow::gateway {

/**
 * Mirrors all keys of the store and forwards the updates to a listener on the loop's thread. In a
 * large failure domain a few daemons, the relays, watch the store and pass the changes on to the
 * others, which watch it themselves only while no relay is up to date. A daemon that starts again
 * also gets its first contents from a relay, so that the store's link does not limit how soon all
 * daemons of a deployment are ready. All functions are to be called on the loop's thread.
 */
class SharedMirror : public StoreKnowledge, private platform::MirrorListener, private PeerListener
{
public:
    struct Settings
    {
        /** This daemon's own entry; without a peer address it shares nothing. */
        routing::EntryDaemon self;
        core::Duration maxStoreDelay;
        /** For the jitter of the back-off. */
        std::uint64_t seed = 0;
    };

    /** The link to the other daemons may be null; then this daemon shares nothing. */
    SharedMirror(Settings settings, network::EventLoop &loop, const core::MonotonicClock &clock,
                 logging::EventLog &log, platform::KeyValueStore &store,
                 platform::MirrorListener &target, PeerLink *peers = nullptr);
    ~SharedMirror() override;

    /** Sends what is due, and starts or stops the watch; to be called several times a second. */
    void onTick(const routing::EntryDirectory &entries);
    /**
     * Records a call to the store that was answered after the given time. The revision is that of
     * a write of this daemon's entry, or 0.
     */
    void onStoreContact(core::Instant startedAt, std::int64_t revision);
    /** See PrefixMirror::restartWatch(). */
    void restartWatch() { m_mirror.restartWatch(); }

    std::optional<core::Duration> age() const override;

    void appendMetrics(metrics::PrometheusWriter &writer) const;

private:
    // PrefixMirror's thread.
    void onSnapshotRequested() override;
    void onSnapshot(const std::vector<platform::KeyValue> &keyValues) override;
    void onChanged(const std::vector<platform::KeyValue> &keyValues) override;
    void onStoreLost(const core::Error &reason) override;
    void onStoreRegained() override;
    void onUpToDate() override;
    // The loop's thread.
    void onPeerMessage(const peer::wire::Envelope &envelope) override;

    /** Decides, by the daemons' entries, whether a relay can give this daemon its contents. */
    void onEntriesRead(const core::Result<platform::RangeResult> &entries);
    /** Ends the attempt to get the first contents from a relay. */
    void stopJoining();
    /** Takes a read of all keys by this daemon. */
    void applySnapshot(const std::vector<platform::KeyValue> &keyValues, std::int64_t revision);
    void replaceContents(const std::vector<platform::KeyValue> &keyValues);
    /**
     * Returns the difference between a read of all keys and the known ones, as changes after the
     * known revision.
     */
    std::vector<platform::KeyValue> changesOf(const std::vector<platform::KeyValue> &keyValues,
                                              std::int64_t revision) const;
    void applyChanges(const std::vector<platform::KeyValue> &changes);
    void applyLost(const core::Error &reason);
    void applyRegained();
    void applyFrame(const std::string &relay, const sharing::FeedFrame &frame);
    /** Whether messages can be exchanged with other daemons. */
    bool isSharing() const;
    void updateMembers(const routing::EntryDirectory &entries);
    /** Paces the store's watch for a relay or for this daemon alone. */
    void setWatchPacing();
    void updateWatch();
    void sendFollow(const std::string &relay);
    void sendFollows();
    void sendFrames();
    /** Completes a frame for a follower that has no contents of the store's present history. */
    void addContents(sharing::FeedFrame &frame) const;

    const Settings m_settings;
    network::EventLoop &m_loop;
    const core::MonotonicClock &m_clock;
    logging::EventLog &m_log;
    platform::KeyValueStore &m_store;
    platform::MirrorListener &m_target;
    /** Null if this daemon shares nothing. */
    PeerLink *const m_peers;
    const sharing::SharingTimes m_times;
    sharing::StoreFollower m_follower;
    sharing::ChangeFeed m_feed;
    /** All known keys. */
    std::map<std::string, platform::KeyValue> m_contents;
    /** Set while this daemon waits for its first contents from a relay: when it gives up. */
    std::optional<core::Instant> m_joinDeadline;
    /** When the first contents came from a relay; empty if this daemon has read them. */
    std::optional<core::Instant> m_joinedAt;
    /** Whether this daemon watches the store for others. */
    bool m_isRelay = false;
    bool m_isWatching = true;
    /** Whether the watch has lost the store. */
    bool m_isWatchLost = false;
    /** Whether the target was told that the store is lost. */
    bool m_isLost = false;
    bool m_hasWrittenEntry = false;
    /** When this daemon last began to read all keys; for the mirror's thread only. */
    core::Instant m_snapshotRequestedAt {0};
    /** A time until which this daemon has got all changes from the store; 0 before the first read.
     */
    core::Instant m_completeAt {0};
    core::Instant m_followedAt {0};
    std::uint64_t m_framesSent = 0;
    std::uint64_t m_framesReceived = 0;
    std::uint64_t m_watchStarts = 0;
    platform::PrefixMirror m_mirror;
    std::unique_ptr<EntriesRead> m_entriesRead;
};

} // namespace sardinehollow::gateway
