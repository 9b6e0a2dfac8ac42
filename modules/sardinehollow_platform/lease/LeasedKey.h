#pragma once

#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_core/time/BackOff.h"
#include "sardinehollow_platform/store/KeyValueStore.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace sardinehollow::platform {

/** Keeps a key in the store for as long as this process lives and reaches the store. */
class LeasedKey
{
public:
    /** Called on the thread of the key when the store did not answer or refused; also at its end.
     */
    using FailureHandler = std::function<void(const core::Error &)>;

    /** Without renewal the key vanishes after the lifetime. The seed spreads repeats. */
    LeasedKey(KeyValueStore &store, CallPurpose purpose, std::string key, std::string value,
              std::chrono::seconds lifetime, std::uint64_t seed, FailureHandler onFailure);
    ~LeasedKey();

    /** Replaces the value of the key; returns at once. */
    void update(std::string value);
    /** Removes the key and stops renewing it; returns at once. */
    void release();

private:
    void run();
    /** Returns whether the key is in the store under a living lease. */
    bool renew();
    bool publish();
    bool rewrite();
    /** Writes the value under a lease that lives. */
    bool write(std::int64_t lease);
    void revoke();
    bool fail(const core::Error &error);

    KeyValueStore &m_store;
    const CallPurpose m_purpose;
    const std::string m_key;
    const std::chrono::seconds m_lifetime;
    const FailureHandler m_onFailure;
    core::SeededRandom m_random;
    core::BackOff m_backOff;
    /** Lease of the key; 0 if there is none. Used by the thread alone. */
    std::int64_t m_lease = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isReleased = false;
    std::string m_value;
    /** The value differs from what was last written. */
    bool m_isChanged = false;
    std::thread m_thread;
};

} // namespace sardinehollow::platform
