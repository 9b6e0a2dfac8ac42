#pragma once

#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_core/time/BackOff.h"
#include "sardinehollow_platform/store/KeyValueStore.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace sardinehollow::platform {

/**
 * A key of the store that is attached to a lease, which a thread renews. The key disappears within
 * the lifetime after this process has ended or lost the store; if the lease has expired, the key is
 * written again under a new one. Each write replaces a known revision of the key, so that an
 * earlier one that the store carries out late has no effect.
 */
class LeasedKey
{
public:
    /** Called on the key's thread if a call to the store fails, including the final revocation. */
    using FailureHandler = std::function<void(const core::Error &)>;
    /** A call to the store that succeeded. */
    struct Contact
    {
        /** Time that the call took. */
        core::Duration elapsed {0};
        /** Revision of the write; 0 for a renewal. */
        std::int64_t revision = 0;
        /** Id of the lease that was renewed or that the key was written under. */
        std::int64_t lease = 0;
    };
    /** Called on the key's thread after each successful renewal or write. */
    using SuccessHandler = std::function<void(const Contact &)>;

    /**
     * The lifetime is the time to live of the lease. The seed is for the jitter of the back-off, so
     * that many daemons do not retry at the same time.
     */
    LeasedKey(KeyValueStore &store, CallPurpose purpose, std::string key, std::string value,
              std::chrono::seconds lifetime, std::uint64_t seed, FailureHandler onFailure,
              SuccessHandler onSuccess = {});
    ~LeasedKey();

    /** Replaces the value of the key; does not wait for the write. */
    void update(std::string value);
    /** Stops renewing the lease and revokes it, which removes the key; does not wait for that. */
    void release();

private:
    void run();
    /**
     * Renews the lease, and writes the key unless it has the current value. Returns whether the key
     * is in the store under a valid lease.
     */
    bool synchronise();
    /** Renews the lease; grants a new one if it has expired. Returns whether that succeeded. */
    bool ensureLease();
    /** Writes the current value; returns whether the key has it. */
    bool write();
    /**
     * Reads the revision that the next write replaces. Returns whether an earlier write of the
     * value under the lease is found, or the error of the read.
     */
    core::Result<bool> readBack(const std::string &value);
    void revoke();
    void reportSuccess(core::Instant startedAt, std::int64_t revision);
    /** Calls the failure handler; always returns false. */
    bool reportFailure(const core::Error &error);

    KeyValueStore &m_store;
    const CallPurpose m_purpose;
    const std::string m_key;
    const std::chrono::seconds m_lifetime;
    const FailureHandler m_onFailure;
    const SuccessHandler m_onSuccess;
    core::SeededRandom m_random;
    core::BackOff m_backOff;
    // Accessed only by the thread.
    /** Id of the lease; 0 if there is none. */
    std::int64_t m_lease = 0;
    /** Revision of the key, 0 if it is absent; empty if it has to be read. */
    std::optional<std::int64_t> m_revision = 0;
    /** Whether the last value taken was written under the lease. */
    bool m_isWritten = false;

    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isReleased = false;
    std::string m_value;
    /** Whether the value has changed since it was last taken for a write. */
    bool m_isDirty = false;
    std::thread m_thread;
};

} // namespace sardinehollow::platform
