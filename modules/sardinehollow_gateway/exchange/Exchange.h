#pragma once

#include "sardinehollow_core/http/HttpBodyFraming.h"
#include "sardinehollow_gateway/exchange/AttemptUsage.h"
#include "sardinehollow_gateway/exchange/CallerIdentity.h"
#include "sardinehollow_gateway/exchange/GatewayServices.h"
#include "sardinehollow_network/client/ResponseListener.h"
#include "sardinehollow_network/server/RequestHandler.h"
#include "sardinehollow_network/server/ResponseSink.h"

#include <Poco/Net/HTTPRequest.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace sardinehollow::gateway {

/** Handles one request of a caller: routing, attempts at backend servers and the response. */
class Exchange : public network::RequestHandler, public network::ResponseListener
{
public:
    Exchange(GatewayServices &services, network::ResponseSink &sink,
             const Poco::Net::HTTPRequest &request, core::HttpBodyFraming framing);
    ~Exchange() override;

    /** Routes the request; if it is refused, the response is sent immediately. */
    void start() override;
    void onRequestBody(std::string &&bytes) override;
    void onRequestEnd() override;
    void onRequestError(network::RequestError error) override;
    void onResponseDrained() override;
    /** Closes the connection to the backend server, which ends the run of the request there. */
    void onCallerLeft() override;

    void onResponseHead(const Poco::Net::HTTPResponse &response, bool hasKnownLength) override;
    void onResponseBody(std::string &&bytes) override;
    void onResponseEnd() override;
    void onAttemptFailed(network::AttemptFailure failure, const std::string &detail) override;
    void onRequestDrained() override;

private:
    void attempt();
    /** Refuses a request that exceeds its team's quota; otherwise counts it as demand. */
    bool passesQuota(core::Instant now);
    /** Ends a request that is quarantined, before its first attempt or between attempts. */
    void finishQuarantined();
    /** Fingerprint of the request for the quarantine; the same at every daemon. */
    std::uint64_t requestHash() const;
    void send(const routing::Selection &selection);
    void sendBody(std::string_view bytes);
    void endBody();
    core::Duration timeLeft() const;
    /** Only for routed requests. */
    routing::RequestScope scope() const { return {*m_route, m_identity.team()}; }
    void onTimeout();
    void endAttempt(RetryReason reason, const std::string &detail);
    void logFailedAttempt(RetryReason reason, const std::string &detail);
    /** Responds with an error without a response from a backend server. */
    void refuse(RequestOutcome outcome, const std::string &detail);
    /** Denies a request that the configuration does not allow; refuses it if that is outdated. */
    void deny(RequestOutcome outcome, const std::string &detail);
    bool mayRetry(RetryReason reason);
    /** Responds with an error after the last attempt has failed. */
    void finishFailed(RetryReason reason, const std::string &detail);
    void startStreaming();
    /** Stops reading the response while its caller does not take what was read. */
    void limitUnsentBytes();
    /** Ends a streamed response so that it does not appear complete. */
    void cutResponse(const std::string &detail);
    /** Records a complete response, which clears the server's failures and the request's reports.
     */
    void recordServerAnswer();
    void deliver();
    void finish(RequestOutcome outcome, int status, const std::string &detail);
    /** Returns why the caller was told that its request is wrong; empty if it was not. */
    std::optional<DenialReason> denialOf(RequestOutcome outcome) const;
    std::optional<core::Duration> knowledgeAge() const;
    /** Reports to the admission by rank whether the request was in time, late or refused. */
    void reportAdmission(RequestOutcome outcome, core::Instant now);
    /** Returns the log line of the finished request. */
    logging::LogLine requestLine(RequestOutcome outcome, int status, const std::string &detail,
                                 core::Instant now) const;
    /** Cancels an attempt before its response; the server may still crash while running it. */
    void abandonAttempt();
    void cancelBackendRequest();

    GatewayServices &m_services;
    network::ResponseSink &m_sink;
    Poco::Net::HTTPRequest m_request;
    const core::HttpBodyFraming m_framing;
    CallerRequestFields m_requestFields;
    /** IP address of the caller. */
    const std::string m_caller;
    const core::Instant m_startedAt;
    core::Instant m_deadline {0};
    /** Retry-After of a refusal. */
    core::Duration m_retryAfter;
    routing::RouteTablePtr m_table;
    const routing::Route *m_route = nullptr;
    CallerIdentity m_identity;
    std::string m_service;
    std::uint64_t m_objectHash = 0;
    std::uint64_t m_requestHash = 0;
    network::EventLoop::Timer m_timer;

    /** The buffered part of the request's body; all of it unless the body is streamed. */
    std::string m_body;
    std::uint64_t m_bodyBytes = 0;
    bool m_isBodyWhole = false;
    bool m_isBodyStreamed = false;

    AttemptUsage m_usage;
    BackendConnection *m_backend = nullptr;
    /** The server of the current or last attempt. */
    routing::BackendStatePtr m_server;
    routing::SelectionReason m_selectionReason = routing::SelectionReason::NoServer;
    /** Inputs of the first attempt's selection, which considers the object's home servers. */
    routing::SelectionInputs m_selectionInputs;
    std::set<std::string> m_tried;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_connectionFailures = 0;
    /** Whether an earlier attempt may have run the request. */
    bool m_mayHaveRun = false;
    bool m_isFinished = false;

    std::optional<Poco::Net::HTTPResponse> m_response;
    BackendResponseFields m_responseFields;
    bool m_hasKnownLength = false;
    std::string m_responseBody;
    bool m_isStreaming = false;
    /** Bytes of the response that are held back; the connection counts those that it got. */
    network::ResponseBudget::Share m_heldBytes;
};

} // namespace sardinehollow::gateway
