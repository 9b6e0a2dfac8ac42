#pragma once

#include "AdmissionPolicy.h"
#include "BenchAttempt.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sardinehollow::bench {

/** A simulated daemon: a policy and the requests that it has accepted and not yet finished. */
struct FakeDaemon
{
    struct PendingRequest
    {
        std::shared_ptr<BenchRequest> request;
        core::Instant accepted {0};
        /** Whether a peer forwarded the request; if so, origin identifies the peer. */
        bool forwarded = false;
        std::size_t origin = 0;
        core::RequestId originId;
        std::uint32_t originAttempt = 0;
        policy::AttemptOutcome lastOutcome = policy::AttemptOutcome::NotRun;
    };

    policy::Peer peer;
    std::unique_ptr<AdmissionPolicy> policy;
    std::map<core::RequestId, PendingRequest> pending;
    /** Server and attempt of each dispatched request; cancelled if the daemon is killed. */
    std::map<core::RequestId, std::pair<std::size_t, std::shared_ptr<BenchAttempt>>> attempts;
    std::uint64_t sequence = 0;
    bool alive = true;
    bool paused = false;
    /** Events that arrived during a pause and are handled after it. */
    std::vector<std::function<void()>> deferred;
};

} // namespace sardinehollow::bench
