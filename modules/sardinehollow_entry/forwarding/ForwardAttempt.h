#pragma once

#include "sardinehollow_entry/exchange/Exchange.h"
#include "sardinehollow_entry/forwarding/AttemptResult.h"
#include "sardinehollow_entry/handlers/EntryContext.h"
#include "sardinehollow_network/client/ResponseListener.h"
#include "sardinehollow_policy/facade/Decision.h"

#include <functional>
#include <string_view>

namespace sardinehollow::entry {

/** One attempt at a backend server or a peer. */
class ForwardAttempt : public network::ResponseListener
{
public:
    using EndHandler = std::function<void(const AttemptResult &)>;

    /** The handler is called once, as the last act of the attempt. */
    ForwardAttempt(EntryContext &context, Exchange &exchange, policy::Decision decision,
                   EndHandler onEnd);
    ~ForwardAttempt() override;

    void start();
    /** Passes on a part of a streamed body. */
    void onRequestBody(std::string_view bytes);
    /** A streamed body is whole. */
    void onRequestEnd();
    /** A streamed body will not be whole: the run ends and nothing is known of it. */
    void onRequestCut(policy::RefusalReason reason);
    void onCallerDrained();
    /** The caller left: the run ends, unless its outcome is to be recorded. */
    void onCallerLeft();
    const policy::Decision &decision() const { return m_decision; }
    /** Whether bytes can have reached the server or peer. */
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
    /** Ends the attempt if the server or peer stated what became of the request. */
    bool endsByStatement();
    void report();
    void startAnswer();
    /** Whether the response continues the download where it stopped. */
    bool continuesDownload() const;
    /** Notes that an answer was begun and whether another server can go on with it. */
    void noteStarted();
    void record(std::string_view bytes);
    void armTimer(core::Duration limit);
    void onTimer();
    /** Bytes that wait for the slower side: the server at first, then the caller. */
    std::size_t unsentBytes() const;
    /** Ends an attempt whose connection broke or fell silent. */
    void lose(policy::AttemptOutcome outcome, policy::RefusalReason reason);
    void end(policy::AttemptOutcome outcome, policy::RefusalReason reason);
    core::Duration remaining() const;
    bool isForward() const { return m_decision.kind == policy::DecisionKind::Forward; }

    EntryContext &m_context;
    Exchange &m_exchange;
    const policy::Decision m_decision;
    const EndHandler m_onEnd;
    const core::Instant m_startedAt;
    network::ClientConnection *m_connection = nullptr;
    Poco::Net::HTTPResponse m_response;
    AttemptResult m_result;
    bool m_isReused = false;
    bool m_isRequestSent = false;
    bool m_isEnded = false;
    network::EventLoop::Timer m_timer;
    std::size_t m_unsentAtTimer = 0;
};

} // namespace sardinehollow::entry
