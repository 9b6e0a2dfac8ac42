#pragma once

#include "sardinehollow_peer/claims/ClaimClientSettings.h"
#include "sardinehollow_peer/claims/ClaimMessage.h"
#include "sardinehollow_peer/claims/ClaimResponse.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sardinehollow::peer {

/**
 * Client side of scoped claims, in the daemon that accepted the request: sends calls to the owner
 * of a scope and resends them until they are answered or time out. A begin call that times out is
 * followed by a release, so that a grant that arrives late does not block a retry of the request.
 * Not safe for concurrent use.
 */
class ClaimClient
{
public:
    /** Returns the daemons of a failure domain, the designated owner of its scope first. */
    using CandidateProvider
            = std::function<std::vector<std::string>(const std::string &failureDomain)>;

    ClaimClient(std::string vm, std::uint64_t incarnation, CandidateProvider candidates,
                ClaimClientSettings settings);

    /** Queues a begin call for a scoped key; returns the number of the claim. */
    std::uint64_t begin(ClaimCall call, core::Instant now);
    /**
     * Returns the verdict on a begin call, or nothing while none has arrived. Removes the claim
     * unless it was granted or its release is still unacknowledged.
     */
    std::optional<ClaimVerdict> takeVerdict(std::uint64_t number);
    /** Reports the response of a granted claim's request to the owner. */
    void finish(std::uint64_t number, int status, const std::string &body, core::Instant now);
    void release(std::uint64_t number, core::Instant now);

    void onResponse(const ClaimResponse &response, core::Instant now);
    /** Returns the calls to send now; times out calls that were not answered. */
    std::vector<ClaimMessage> advance(core::Instant now);

    std::size_t openClaims() const { return m_claims.size(); }

private:
    struct Claim
    {
        ClaimCall call;
        std::string failureDomain;
        std::optional<ClaimVerdict> verdict;
        /** The claim was granted and its request runs; no call is due. */
        bool granted = false;
        std::size_t attempts = 0;
        core::Instant nextSend {0};
        /** When the pending call times out. */
        core::Instant expiry {0};
    };

    void report(std::uint64_t number, ClaimOperation operation, core::Instant now);
    void abandonBegin(Claim &claim, core::Instant now);

    const std::string m_vm;
    const std::uint64_t m_incarnation;
    const CandidateProvider m_candidates;
    const ClaimClientSettings m_settings;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, Claim> m_claims;
    std::size_t m_pendingReports = 0;
};

} // namespace sardinehollow::peer
