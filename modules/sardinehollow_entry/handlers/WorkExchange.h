#pragma once

#include "sardinehollow_entry/claims/ClaimRequest.h"
#include "sardinehollow_entry/exchange/Exchange.h"
#include "sardinehollow_entry/exchange/Problem.h"
#include "sardinehollow_entry/exchange/RequestRecord.h"
#include "sardinehollow_entry/forwarding/ForwardAttempt.h"
#include "sardinehollow_entry/handlers/EntryContext.h"
#include "sardinehollow_network/server/RequestHandler.h"

#include <memory>

namespace sardinehollow::entry {

/** One request for a backend server, from its head to its end. */
class WorkExchange : public network::RequestHandler,
                     public std::enable_shared_from_this<WorkExchange>
{
public:
    /** The kind belongs to the configuration. */
    WorkExchange(EntryContext &context, network::ResponseSink &caller,
                 const Poco::Net::HTTPRequest &request, core::HttpBodyFraming framing,
                 std::shared_ptr<const config::Configuration> configuration,
                 const config::WorkKind &kind, bool fromPeer);

    void start() override;
    void onRequestBody(std::string &&bytes) override;
    void onRequestEnd() override;
    void onFault(network::RequestFault fault) override;
    void onResponseDrained() override;
    void onCallerLeft() override;

    /** Takes a decision on a request that is held. */
    void onDecision(const policy::Decision &decision);

private:
    enum class Phase {
        /** The part of the body that is kept is arriving. */
        Reading,
        /** The policy holds the request. */
        Held,
        /** The key is being claimed. */
        Claiming,
        Attempting,
        Ended,
    };

    void readOffer(core::Duration remaining);
    void onDeadline();
    /** Offers the request to the policy; a body that is not kept waits for the attempt. */
    void offer();
    void pauseBody();
    bool isAdmittedByShifts() const;
    void apply(const policy::Decision &decision);
    void endUnserved(const policy::Decision &decision);
    void startClaim(const policy::Decision &decision);
    void onClaimed(const policy::Decision &decision, const ClaimAnswer &answer);
    void attempt(const policy::Decision &decision);
    void onAttemptEnd(const AttemptResult &result);
    policy::Decision reportAttempt(const AttemptResult &result);
    void recordOutcome(const AttemptResult &result);
    void releaseClaim();
    void endWithoutAnswer(const AttemptResult &result);
    void refuse(policy::RefusalReason reason, core::Duration retryAfter = core::Duration(0));
    void answerUnknown(policy::RefusalReason reason);
    void replay(const ClaimAnswer &answer);
    void answer(Problem problem);
    void abortAnswer();
    /** Ends the exchange; it is destroyed once the caller's connection has let it go too. */
    void close();
    void logFailedAttempt(const AttemptResult &result, const policy::Decision &next);
    std::string callerAddress() const;
    /** The part of the body that tells this request from others of its method and path. */
    std::string identifyingBody() const;

    EntryContext &m_context;
    /** IP address of the connection's other end. */
    const std::string m_peerHost;
    Exchange m_exchange;
    const bool m_fromPeer;
    Phase m_phase = Phase::Reading;
    network::EventLoop::Timer m_timer;
    /** Counts the request as in flight; kept by open calls of the claim gate too. */
    std::shared_ptr<void> m_inFlight;
    std::unique_ptr<ForwardAttempt> m_attempt;
    ClaimRequest m_claim;
    bool m_isClaimed = false;
    /** Whether any attempt may have run the request; the last one alone does not tell. */
    bool m_mayHaveRun = false;
    RequestRecord m_record;
    policy::RefusalReason m_lastReason = policy::RefusalReason::None;
    core::Duration m_lastRetryAfter {0};
};

} // namespace sardinehollow::entry
