#pragma once

#include "sardinehollow_entry/exchange/RequestContext.h"
#include "sardinehollow_entry/forwarding/AttemptResult.h"
#include "sardinehollow_entry/handlers/EntryContext.h"
#include "sardinehollow_network/client/ResponseListener.h"
#include "sardinehollow_policy/facade/Decision.h"

#include <functional>
#include <string_view>

namespace sardinehollow::entry {

/** One attempt to forward a request to a backend server or a peer. */
class ForwardAttempt : public network::ResponseListener
{
public:
    using EndHandler = std::function<void(const AttemptResult &)>;

    /** onEnd is called once, as the last action, unless the attempt is destroyed first. */
    ForwardAttempt(EntryContext &context, RequestContext &requestContext, policy::Decision decision,
                   EndHandler onEnd);
    ~ForwardAttempt() override;

    void start();
    /** Forwards a part of a streamed request body. */
    void onRequestBody(std::string_view bytes);
    /** Called when a streamed request body is complete. */
    void onRequestEnd();
    /**
     * Ends the attempt as CallerLeft because the rest of a streamed request body will not be
     * forwarded.
     */
    void onRequestAborted(policy::RefusalReason reason);
    /**
     * Called when all queued response bytes have been sent to the caller; resumes reading from the
     * server.
     */
    void onResponseSent();
    /**
     * Called when the caller has disconnected. Ends the attempt unless the complete body of a
     * non-idempotent request has been received; that attempt continues so that its outcome is
     * recorded.
     */
    void onCallerLeft();
    const policy::Decision &decision() const { return m_decision; }
    /** Whether the connection is established, so that bytes may have reached the server or peer. */
    bool isConnected() const { return m_connection && m_connection->isConnected(); }

    void onResponseHead(const Poco::Net::HTTPResponse &response, bool hasKnownLength) override;
    void onResponseBody(std::string &&bytes) override;
    void onResponseEnd() override;
    void onAttemptFailed(network::AttemptFailure failure, const std::string &detail) override;
    void onRequestDrained() override;

private:
    void connect();
    void sendRequest();
    void prepareRequest(Poco::Net::HTTPRequest &request) const;
    void finishRequest();
    /**
     * Ends the attempt and returns true if the response reports that the request was not run or
     * that its outcome is unknown.
     */
    bool endIfNotCompleted();
    void reportBackendState();
    void startResponseToCaller();
    /** Whether the response resumes the download exactly where it was interrupted. */
    bool continuesDownload() const;
    /** Marks the response as started and determines whether another server could resume it. */
    void markResponseStarted();
    /** Keeps the beginning of the response body for the claim record. */
    void recordBody(std::string_view bytes);
    void armTimer(core::Duration limit);
    void onTimer();
    /** Unsent bytes of the request or, once the response has started, of the response. */
    std::size_t unsentBytes() const;
    /** Ends an attempt that lost its connection or timed out. */
    void endInterrupted(policy::AttemptOutcome outcome, policy::RefusalReason reason);
    void end(policy::AttemptOutcome outcome, policy::RefusalReason reason);
    core::Duration remaining() const;
    bool isForward() const { return m_decision.kind == policy::DecisionKind::Forward; }

    EntryContext &m_context;
    RequestContext &m_requestContext;
    const policy::Decision m_decision;
    const EndHandler m_onEnd;
    const core::Instant m_startedAt;
    network::ClientConnection *m_connection = nullptr;
    Poco::Net::HTTPResponse m_response;
    AttemptResult m_result;
    bool m_isConnectionReused = false;
    bool m_isRequestSent = false;
    bool m_isEnded = false;
    network::EventLoop::Timer m_timer;
    std::size_t m_unsentAtTimer = 0;
};

} // namespace sardinehollow::entry
