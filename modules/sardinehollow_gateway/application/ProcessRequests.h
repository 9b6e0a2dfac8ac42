#pragma once

#include <atomic>

namespace sardinehollow::gateway {

/**
 * What signals ask of the process. Requests are kept until they are taken, so that one made before
 * the application exists is not lost. All members may be called from signal handlers.
 */
class ProcessRequests
{
public:
    void requestStop() { m_isStopRequested = true; }
    void requestReload() { m_isReloadRequested = true; }
    /** Returns whether a stop was requested since the last call. */
    bool takeStop() { return m_isStopRequested.exchange(false); }
    /** Returns whether a reload of the settings was requested since the last call. */
    bool takeReload() { return m_isReloadRequested.exchange(false); }

private:
    // Signal handlers may use only lock-free atomics.
    static_assert(std::atomic<bool>::is_always_lock_free);

    std::atomic<bool> m_isStopRequested {false};
    std::atomic<bool> m_isReloadRequested {false};
};

} // namespace sardinehollow::gateway
