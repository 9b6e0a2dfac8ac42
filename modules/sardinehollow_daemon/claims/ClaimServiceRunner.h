#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_peer/claims/ClaimService.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace sardinehollow::daemon {

/**
 * Drives a ClaimService and makes its blocking journal calls on a dedicated thread. Safe for
 * concurrent use.
 */
class ClaimServiceRunner
{
public:
    /**
     * Receives the responses that handle() could not return at once. Called on the runner's thread;
     * must not block for long.
     */
    using ResponseHandler = std::function<void(const peer::ClaimResponse &)>;

    ClaimServiceRunner(peer::ClaimServiceSettings settings, peer::ClaimJournal &journal,
                       const core::MonotonicClock &clock, ResponseHandler onResponse);
    ~ClaimServiceRunner();

    ClaimServiceRunner(const ClaimServiceRunner &) = delete;
    ClaimServiceRunner &operator=(const ClaimServiceRunner &) = delete;

    /** Sets whether the local daemon is to own the scope. */
    void setOwner(bool owner);
    void setKinds(const peer::ClaimKinds &kinds);
    void setBatchInterval(core::Duration interval);
    /** Returns the responses that are available now; later ones go to the response handler. */
    peer::ClaimService::Responses handle(const peer::ClaimCall &call);
    std::string scope() const;
    std::size_t claimCount() const;
    /** Whether no scope is owned, so that the daemon may exit without a lease left to expire. */
    bool hasResigned() const;

private:
    void run();
    void respond(const peer::ClaimService::Responses &responses) const;

    peer::ClaimJournal &m_journal;
    const core::MonotonicClock &m_clock;
    const ResponseHandler m_onResponse;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    peer::ClaimService m_service;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace sardinehollow::daemon
