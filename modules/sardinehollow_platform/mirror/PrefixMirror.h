#pragma once

#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_core/time/BackOff.h"
#include "sardinehollow_platform/mirror/MirrorListener.h"
#include "sardinehollow_platform/store/KeyValueStore.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace sardinehollow::platform {

/**
 * Keeps a listener up to date with all keys of a prefix: reads a snapshot, then watches for changes
 * from its revision on. If a watch fails, the next one resumes after the last revision reported. A
 * new snapshot is read only if the store has compacted the changes in between or its revision went
 * back.
 */
class PrefixMirror : private WatchListener
{
public:
    /**
     * The seed is for the jitter of the back-off, so that many daemons do not retry together. The
     * first watch after a read of all keys starts after the initial pause; the changes until then
     * take one call. An inactive mirror reads nothing until it is activated.
     */
    PrefixMirror(KeyValueStore &store, CallPurpose purpose, std::string prefix,
                 MirrorListener &listener, std::uint64_t seed,
                 core::Duration initialPause = core::Duration {0}, bool isActive = true);
    ~PrefixMirror() override;

    /**
     * Restarts the running watch. Called when another call to the store got no response, since the
     * connection of the watch may then be dead without an error. Safe for concurrent use.
     */
    void restartWatch();
    /** Pauses or resumes the watch; while paused, no call is made. Safe for concurrent use. */
    void setActive(bool isActive);
    /**
     * Tells that the listener knows all changes up to a revision from elsewhere. Safe for
     * concurrent use.
     */
    void advanceTo(std::int64_t revision);
    /** Changes up to this revision have been reported. Safe for concurrent use. */
    std::int64_t revision() const;

private:
    void run();
    /** Waits until the mirror is active; returns false if it is stopped instead. */
    bool waitUntilActive();
    void waitForInitialPause();
    /** Returns whether the snapshot was read and passed to the listener. */
    bool readSnapshot();
    /**
     * Watches for changes until the watch ends, has to be restarted or is paused. Returns the
     * reason, or nothing if it was paused.
     */
    std::optional<core::Error> runWatch();
    void onChanged(const std::vector<KeyValue> &keyValues, std::int64_t revision) override;
    void onPartOfChanges(const std::vector<KeyValue> &keyValues, std::int64_t revision) override;
    void onEnded(const core::Error &reason) override;
    void reportLost(const core::Error &reason);
    void reportRegained();
    void waitForRetry();

    KeyValueStore &m_store;
    const CallPurpose m_purpose;
    const std::string m_prefix;
    MirrorListener &m_listener;
    const core::Duration m_initialPause;
    core::SeededRandom m_random;
    core::BackOff m_backOff;

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    bool m_isStoreLost = false;
    bool m_isWatchRestartDue = false;
    bool m_isActive = true;
    /** Changes up to this revision have been reported; 0 before the first snapshot. */
    std::int64_t m_revision = 0;
    std::optional<core::Error> m_watchEndReason;
    std::thread m_thread;
};

} // namespace sardinehollow::platform
