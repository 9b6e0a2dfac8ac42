#pragma once

#include "sardinehollow_core/http/HttpBodyFraming.h"
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

/** One request of a caller: routing, attempts at backend servers and the response. */
class Exchange : public network::RequestHandler, public network::ResponseListener
{
public:
    Exchange(GatewayServices &services, network::ResponseSink &sink,
             const Poco::Net::HTTPRequest &request, core::HttpBodyFraming framing);
    ~Exchange() override;

    /** Routes the request; a refusal is sent at once. */
    void start() override;
    void onRequestBody(std::string &&bytes) override;
    void onRequestEnd() override;
    void onFault(network::RequestFault fault) override;
    void onResponseDrained() override;
    /** The run at the backend server ends with its connection. */
    void onCallerLeft() override;

    void onResponseHead(const Poco::Net::HTTPResponse &response, bool hasKnownLength) override;
    void onResponseBody(std::string &&bytes) override;
    void onResponseEnd() override;
    void onAttemptFailed(network::AttemptFailure failure, const std::string &detail) override;
    void onRequestDrained() override;

private:
    void attempt();
    /** Hash of what makes this request the same at any daemon. */
    std::uint64_t requestHash() const;
    void send(const routing::Selection &selection);
    void sendBody(std::string_view bytes);
    void endBody();
    core::Duration timeLeft() const;
    void onTimeout();
    void endAttempt(RetryReason reason, const std::string &detail);
    void logFailedAttempt(RetryReason reason, const std::string &detail);
    /** Answers without a backend server. */
    void refuse(RequestOutcome outcome, const std::string &detail);
    bool mayRetry(RetryReason reason);
    void giveUp(RetryReason reason, const std::string &detail);
    void startStreaming();
    /** The server answered the request whole. */
    void noteAnswered();
    void deliver();
    void finish(RequestOutcome outcome, int status, const std::string &detail);
    /** What the log says of the request at its end. */
    logging::LogLine requestLine(RequestOutcome outcome, int status, const std::string &detail,
                                 core::Instant now) const;
    void removeBackend();

    GatewayServices &m_services;
    network::ResponseSink &m_sink;
    Poco::Net::HTTPRequest m_request;
    const core::HttpBodyFraming m_framing;
    CallerRequestFacts m_facts;
    /** IP address of the caller. */
    const std::string m_caller;
    const core::Instant m_startedAt;
    core::Instant m_deadline {0};
    routing::RouteTablePtr m_table;
    const routing::Route *m_route = nullptr;
    std::string m_service;
    std::uint64_t m_objectHash = 0;
    std::uint64_t m_requestHash = 0;
    network::EventLoop::Timer m_timer;

    /** The request's body as far as it is kept; all of it unless it is streamed. */
    std::string m_body;
    std::uint64_t m_bodyBytes = 0;
    bool m_isBodyWhole = false;
    bool m_isBodyStreamed = false;

    BackendConnection *m_backend = nullptr;
    /** The server of the present or last attempt. */
    routing::BackendStatePtr m_server;
    routing::SelectionReason m_selectionReason = routing::SelectionReason::NoServer;
    /** Of the first attempt, which decided by the object's homes. */
    routing::SelectionInputs m_selectionInputs;
    std::set<std::string> m_tried;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_connectionFailures = 0;
    /** An attempt may have run the request. */
    bool m_mayHaveRun = false;
    bool m_isFinished = false;

    std::optional<Poco::Net::HTTPResponse> m_response;
    BackendResponseFacts m_responseFacts;
    bool m_hasKnownLength = false;
    std::string m_responseBody;
    bool m_isStreaming = false;
};

} // namespace sardinehollow::gateway
