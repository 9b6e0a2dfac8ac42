#pragma once

#include "sardinehollow_entry/claims/ClaimRequest.h"
#include "sardinehollow_entry/exchange/Problem.h"
#include "sardinehollow_entry/exchange/RequestContext.h"
#include "sardinehollow_entry/exchange/RequestRecord.h"
#include "sardinehollow_entry/forwarding/ForwardAttempt.h"
#include "sardinehollow_entry/handlers/EntryContext.h"
#include "sardinehollow_network/server/RequestHandler.h"

#include <memory>

namespace sardinehollow::entry {

/** Handles one request of a work kind: admission, claim, attempts and response. */
class WorkExchange : public network::RequestHandler,
                     public std::enable_shared_from_this<WorkExchange>
{
public:
    /** The work kind must belong to the configuration. */
    WorkExchange(EntryContext &context, network::ResponseSink &caller,
                 const Poco::Net::HTTPRequest &request, core::HttpBodyFraming framing,
                 std::shared_ptr<const config::Configuration> configuration,
                 const config::WorkKind &kind, bool fromPeer);

    void start() override;
    void onRequestBody(std::string &&bytes) override;
    void onRequestEnd() override;
    void onRequestError(network::RequestError error) override;
    void onResponseDrained() override;
    void onCallerLeft() override;

    /** Applies a decision of the policy, if the request is still held. */
    void onDecision(const policy::Decision &decision);

private:
    enum class Phase {
        /** The request body is being received into the buffer. */
        Reading,
        /** The policy holds the request in a queue. */
        Held,
        /** The key is being claimed. */
        Claiming,
        Attempting,
        Ended,
    };

    void initialiseOffer(core::Duration remaining);
    void onDeadline();
    /** Offers the request to the policy; reading a streamed body pauses until an attempt starts. */
    void offerToPolicy();
    void pauseRequestBody();
    bool isAdmittedByShifts() const;
    void applyDecision(const policy::Decision &decision);
    void endUnserved(const policy::Decision &decision);
    void startClaim(const policy::Decision &decision);
    void onClaimed(const policy::Decision &decision, const ClaimAnswer &answer);
    void startAttempt(const policy::Decision &decision);
    void onAttemptEnd(const AttemptResult &result);
    policy::Decision reportAttempt(const AttemptResult &result);
    void recordOutcome(const AttemptResult &result);
    void releaseClaim();
    void endAfterCallerLeft(const AttemptResult &result);
    void refuse(policy::RefusalReason reason, core::Duration retryAfter = core::Duration(0));
    void respondOutcomeUnknown(policy::RefusalReason reason);
    void replay(const ClaimAnswer &answer);
    void respond(Problem problem);
    void abortCallerResponse();
    /** Ends the exchange; it is destroyed once the caller's connection releases it as well. */
    void close();
    void logFailedAttempt(const AttemptResult &result, const policy::Decision &next);
    std::string callerAddress() const;
    /** The part of the body that distinguishes requests of the same method and path. */
    std::string bodyForDigest() const;

    EntryContext &m_context;
    /** IP address of the connection's peer. */
    const std::string m_peerHost;
    RequestContext m_requestContext;
    const bool m_fromPeer;
    Phase m_phase = Phase::Reading;
    network::EventLoop::Timer m_timer;
    /** Counts the request as in flight; shared with open calls of the claim gate. */
    std::shared_ptr<void> m_inFlight;
    std::unique_ptr<ForwardAttempt> m_attempt;
    ClaimRequest m_claim;
    bool m_isClaimed = false;
    /** Whether any attempt so far, not only the last one, may have run the request. */
    bool m_mayHaveRun = false;
    RequestRecord m_record;
    policy::RefusalReason m_lastReason = policy::RefusalReason::None;
    core::Duration m_lastRetryAfter {0};
};

} // namespace sardinehollow::entry
