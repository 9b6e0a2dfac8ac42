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
 * Keeps a listener up to date with all keys of a prefix: reads them once, then watches for changes,
 * and reads them again when the store no longer knows the changes in between.
 */
class PrefixMirror : private WatchListener
{
public:
    /** The seed spreads the repeats of many daemons. */
    PrefixMirror(KeyValueStore &store, CallPurpose purpose, std::string prefix,
                 MirrorListener &listener, std::uint64_t seed);
    ~PrefixMirror() override;

    /**
     * Another call to the store was not answered: the running watch may be dead as well without a
     * sign, and is started again. Safe for concurrent use.
     */
    void recheck();

private:
    void run();
    bool read();
    core::Error watch();
    void onChanged(const std::vector<KeyValue> &keyValues, std::int64_t revision) override;
    void onEnded(const core::Error &reason) override;
    void noteLost(const core::Error &reason);
    void noteRegained();
    void pause();

    KeyValueStore &m_store;
    const CallPurpose m_purpose;
    const std::string m_prefix;
    MirrorListener &m_listener;
    core::SeededRandom m_random;
    core::BackOff m_backOff;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    bool m_isLost = false;
    bool m_isRecheckDue = false;
    /** Changes up to here were reported; 0 before the first read. */
    std::int64_t m_revision = 0;
    std::optional<core::Error> m_watchEnd;
    std::thread m_thread;
};

} // namespace sardinehollow::platform
