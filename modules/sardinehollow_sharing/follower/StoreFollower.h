#pragma once

#include "sardinehollow_sharing/SharingTimes.h"
#include "sardinehollow_sharing/feed/FeedFrame.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::sharing {

/**
 * A daemon's knowledge of the store: which revision it has, from which source, how old it is, and
 * whether the daemon has to watch the store itself. Performs no I/O. Not safe for concurrent use.
 */
class StoreFollower
{
public:
    /** What to do with a frame. */
    struct Update
    {
        /** Changes that are new to this daemon, in order. */
        std::vector<platform::KeyValue> changes;
        /** The relay lost the store and has regained it since its last frame. */
        bool hasRegained = false;
        /** The changes are all keys of the store. */
        bool isSnapshot = false;
        /** The store was restored from an older copy since this daemon's revision. */
        bool isRestored = false;
        /** Changes are missing between this daemon's revision and the frame. */
        bool hasGap = false;
    };

    explicit StoreFollower(SharingTimes times);

    /** Sets the daemons that share their knowledge; empty if this daemon watches the store. */
    void setRelays(std::set<std::string> relays);
    const std::set<std::string> &relays() const { return m_relays; }

    /** All changes up to this revision are known; 0 before the first read of the store. */
    std::int64_t revision() const { return m_revision; }
    /** Takes a read of all keys by this daemon; returns false if more is known already. */
    bool onSnapshot(std::int64_t revision);
    /** Takes changes that this daemon's own watch reported; returns those that are new. */
    std::vector<platform::KeyValue> onWatched(const std::vector<platform::KeyValue> &changes,
                                              std::int64_t revision);
    /** Takes a frame of a relay. */
    Update onFrame(const std::string &relay, const FeedFrame &frame);
    /** Records a call to the store that was answered, by the time at which it started. */
    void onOwnContact(core::Instant startedAt);

    /** Whether this daemon has to watch the store itself now. */
    bool isWatchNeeded(core::Instant now);
    /** Whether neither the relays nor this daemon have had contact with the store for long. */
    bool isStoreLost(core::Instant now) const;
    /** Time since the relays' contents were current; empty without a frame of a present relay. */
    std::optional<core::Duration> age(core::Instant now) const;

private:
    struct Relay
    {
        core::Instant currentAt {0};
        std::optional<std::uint64_t> recoveries;
    };

    std::vector<platform::KeyValue> newChanges(const std::vector<platform::KeyValue> &changes,
                                               std::int64_t revision);
    bool isRelayFresh(core::Instant now) const;
    bool isOwnContactRecent(core::Instant now) const;

    const SharingTimes m_times;
    std::set<std::string> m_relays;
    std::map<std::string, Relay> m_relayStates;
    std::int64_t m_revision = 0;
    std::optional<core::Instant> m_ownContactAt;
    bool m_isWatching = true;
    /** Since when a relay's knowledge has been fresh without interruption. */
    std::optional<core::Instant> m_freshSince;
};

} // namespace sardinehollow::sharing
