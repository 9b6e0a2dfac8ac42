#include "sardinehollow_entry/forwarding/ForwardAttempt.h"

#include "sardinehollow_entry/exchange/HeaderNames.h"
#include "sardinehollow_entry/exchange/Outcome.h"
#include "sardinehollow_entry/exchange/ReasonHeader.h"
#include "sardinehollow_entry/forwarding/BackendHeaders.h"
#include "sardinehollow_network/http/MessageWriter.h"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>

#include <algorithm>

namespace sardinehollow::entry {

namespace {

using Kind = core::HttpBodyFraming::Kind;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using policy::AttemptOutcome;
using policy::RefusalReason;

constexpr core::Duration connectTimeout = std::chrono::milliseconds(500);
constexpr core::Duration minAttemptTime = std::chrono::milliseconds(1);
// Maximum time without progress within a message, for both the caller and the server or peer.
constexpr core::Duration stallTimeout = std::chrono::seconds(10);
// Backend servers close idle connections after tens of seconds; younger ones are rarely stale.
constexpr core::Duration idleLimit = std::chrono::seconds(5);
constexpr std::size_t maxRecordedBodyBytes = 4096;
// Back-pressure: with more unsent bytes for one side, reading from the other side is paused.
constexpr std::size_t maxUnsentBytes = 256 * 1024;
// An attempt on a reused connection may wait for this fraction (1/n) of the remaining time, so that
// there is time for a retry on a new connection if the reused one is dead.
constexpr int reusedWaitDivisor = 2;

bool isStrongValidator(const std::string &entityTag)
{
    return entityTag.size() > 2 && entityTag.front() == '"';
}

} // namespace

ForwardAttempt::ForwardAttempt(EntryContext &context, RequestContext &requestContext,
                               policy::Decision decision, EndHandler onEnd)
    : m_context(context)
    , m_requestContext(requestContext)
    , m_decision(std::move(decision))
    , m_onEnd(std::move(onEnd))
    , m_startedAt(context.services.clock.now())
{ }

ForwardAttempt::~ForwardAttempt()
{
    m_context.loop.cancel(m_timer);
    if (m_connection)
        m_connection->cancel();
}

void ForwardAttempt::start()
{
    if (remaining() < minAttemptTime) {
        end(AttemptOutcome::ConnectFailed, RefusalReason::DeadlinePassed);
        return;
    }
    try {
        connect();
    } catch (const Poco::Exception &) {
        end(AttemptOutcome::ConnectFailed, RefusalReason::BackendUnreachable);
        return;
    }
    sendRequest();
}

void ForwardAttempt::connect()
{
    // A request can be lost on a stale connection after the server has accepted it. Non-idempotent
    // requests and retries are therefore always sent on a new connection.
    const bool needsNewConnection
            = !m_requestContext.kind.idempotent || m_requestContext.attempts > 0;
    ++m_requestContext.attempts;
    m_connection = &acquireConnection(m_context.pool, m_context.loop, m_decision.address,
                                      needsNewConnection ? core::Duration(0) : idleLimit,
                                      std::min(remaining(), connectTimeout));
    m_isConnectionReused = m_connection->isConnected();
}

void ForwardAttempt::sendRequest()
{
    HTTPRequest request = m_requestContext.request;
    prepareRequest(request);
    std::string text = network::toText(request);
    if (!m_requestContext.isBodyStreamed)
        text += m_requestContext.body;
    m_connection->start(text, request.getMethod(), *this);
    // The connection may have failed at once.
    if (!m_connection)
        return;
    if (!m_requestContext.isBodyStreamed) {
        finishRequest();
        return;
    }
    armTimer(std::min(remaining(), stallTimeout));
    onRequestBody(m_requestContext.body);
    if (m_connection && m_requestContext.isBodyComplete)
        onRequestEnd();
}

void ForwardAttempt::prepareRequest(HTTPRequest &request) const
{
    network::removeHopByHopFields(request);
    request.erase(originHeader);
    request.erase(callerHashHeader);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(remaining());
    request.set(deadlineHeader, std::to_string(milliseconds.count()));
    if (isForward()) {
        request.set(originHeader, m_context.services.failureDomain);
        request.set(callerHashHeader, std::to_string(m_requestContext.offer.callerHash));
    }
    if (!request.has(HTTPRequest::HOST))
        request.setHost(m_decision.address);
    const PartialDownload &download = m_requestContext.download;
    if (download.active) {
        request.set("Range", "bytes=" + std::to_string(download.sent) + "-");
        request.set("If-Range", download.entityTag);
    }
    const bool hasBody = m_requestContext.framing.kind != Kind::None;
    if (m_requestContext.isBodyStreamed && m_requestContext.framing.kind == Kind::Chunked)
        request.set("Transfer-Encoding", "chunked");
    else if (m_requestContext.isBodyStreamed)
        request.set("Content-Length", std::to_string(m_requestContext.framing.length));
    else if (hasBody)
        request.set("Content-Length", std::to_string(m_requestContext.body.size()));
    else if (request.getMethod() != HTTPRequest::HTTP_GET
             && request.getMethod() != HTTPRequest::HTTP_HEAD)
        request.set("Content-Length", "0");
}

void ForwardAttempt::onRequestBody(std::string_view bytes)
{
    if (!m_connection || m_isRequestSent || bytes.empty())
        return;
    const bool isChunked = m_requestContext.framing.kind == Kind::Chunked;
    m_connection->send(isChunked ? network::toChunk(bytes) : std::string(bytes));
    if (!m_connection)
        return;
    armTimer(std::min(remaining(), stallTimeout));
    if (m_connection->unsentBytes() > maxUnsentBytes && m_requestContext.caller)
        m_requestContext.caller->setRequestReading(false);
}

void ForwardAttempt::onRequestEnd()
{
    if (!m_connection || m_isRequestSent)
        return;
    if (m_requestContext.framing.kind == Kind::Chunked)
        m_connection->send(network::toChunk({}));
    if (m_connection)
        finishRequest();
}

void ForwardAttempt::finishRequest()
{
    m_isRequestSent = true;
    m_connection->finishRequest();
    if (!m_result.responseStarted)
        armTimer(m_isConnectionReused ? remaining() / reusedWaitDivisor : remaining());
}

void ForwardAttempt::onRequestDrained()
{
    if (m_requestContext.caller && !m_requestContext.isBodyComplete)
        m_requestContext.caller->setRequestReading(true);
}

void ForwardAttempt::onRequestAborted(RefusalReason reason)
{
    end(AttemptOutcome::CallerLeft, reason);
}

void ForwardAttempt::onResponseSent()
{
    if (!m_connection)
        return;
    m_connection->setReading(true);
    armTimer(stallTimeout);
}

void ForwardAttempt::onCallerLeft()
{
    m_requestContext.download.active = false;
    const bool isRequestComplete
            = !m_requestContext.isBodyStreamed || m_requestContext.isBodyComplete;
    if (!isRequestComplete) {
        end(AttemptOutcome::CallerLeft, RefusalReason::MalformedRequest);
        return;
    }
    if (m_requestContext.kind.idempotent) {
        end(AttemptOutcome::CallerLeft, RefusalReason::None);
        return;
    }
    // A non-idempotent request continues without its caller, so that its outcome is recorded and
    // can be replayed for a repeat of the key.
    if (m_connection)
        m_connection->setReading(true);
}

void ForwardAttempt::onResponseHead(const HTTPResponse &response, bool /*hasKnownLength*/)
{
    m_response = response;
    m_result.status = response.getStatus();
    reportBackendState();
    if (endIfNotCompleted())
        return;
    startResponseToCaller();
}

void ForwardAttempt::reportBackendState()
{
    if (isForward())
        return;
    policy::BackendReport backendReport;
    backendReport.backendServer = m_decision.backendServer;
    backendReport.now = m_context.services.clock.now();
    if (readBackendHeaders(m_response, backendReport))
        m_context.services.policy.onBackendReport(backendReport);
}

bool ForwardAttempt::endIfNotCompleted()
{
    const bool isUnavailable = m_response.getStatus() == HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    if (!isForward()) {
        if (!isUnavailable || !m_response.has(notRunHeader))
            return false;
        end(AttemptOutcome::NotRun, RefusalReason::BackendShed);
        return true;
    }
    // Only peers report an outcome; the field has no meaning in a backend server's response.
    const std::string outcome = m_response.get(outcomeHeader, "");
    const RefusalReason reason
            = reasonFromHeader(m_response.get(reasonHeader, ""), RefusalReason::BackendUnreachable);
    if (outcome == toName(Outcome::NotRun)) {
        Poco::Int64 seconds = 0;
        if (Poco::NumberParser::tryParse64(m_response.get(retryAfterHeader, ""), seconds))
            m_result.retryAfter = std::chrono::seconds(seconds);
        end(AttemptOutcome::NotRun, reason);
        return true;
    }
    if (outcome == toName(Outcome::Unknown)) {
        end(AttemptOutcome::ConnectionLost, reason);
        return true;
    }
    return false;
}

void ForwardAttempt::startResponseToCaller()
{
    armTimer(stallTimeout);
    if (m_requestContext.download.active) {
        m_result.responseStarted = true;
        if (!continuesDownload())
            end(AttemptOutcome::Truncated, RefusalReason::AnswerTruncated);
        return;
    }
    const core::HttpBodyFraming framing
            = core::framingOf(m_response, m_requestContext.request.getMethod());
    if (framing.kind == Kind::UntilClose || framing.kind == Kind::Malformed) {
        // The end of such a body cannot be distinguished from a lost connection.
        endInterrupted(AttemptOutcome::ConnectionLost, RefusalReason::BackendUnreachable);
        return;
    }
    HTTPResponse callerResponse = m_response;
    const std::string length = callerResponse.get("Content-Length", "");
    network::removeHopByHopFields(callerResponse);
    const bool hasLength = !length.empty() && framing.kind != Kind::Chunked
            && callerResponse.getStatus() != HTTPResponse::HTTP_NO_CONTENT;
    if (hasLength)
        callerResponse.set("Content-Length", length);
    for (const char *name : {loadHeader, leavingHeader, notRunHeader, reasonHeader})
        callerResponse.erase(name);
    callerResponse.set(outcomeHeader, std::string(toName(Outcome::Complete)));
    callerResponse.set(requestIdHeader, m_requestContext.requestId);
    callerResponse.set(generationHeader,
                       std::to_string(m_requestContext.configuration->generation));
    markResponseStarted();
    if (m_requestContext.caller)
        m_requestContext.caller->startResponse(callerResponse);
}

void ForwardAttempt::markResponseStarted()
{
    m_result.responseStarted = true;
    const core::HttpBodyFraming framing
            = core::framingOf(m_response, m_requestContext.request.getMethod());
    PartialDownload &download = m_requestContext.download;
    download.entityTag = m_response.get("ETag", "");
    download.total = framing.length;
    download.active = m_requestContext.kind.idempotent && framing.kind == Kind::Fixed
            && m_requestContext.request.getMethod() == HTTPRequest::HTTP_GET
            && m_response.getStatus() == HTTPResponse::HTTP_OK
            && !m_requestContext.request.has("Range") && isStrongValidator(download.entityTag);
}

bool ForwardAttempt::continuesDownload() const
{
    const PartialDownload &download = m_requestContext.download;
    const std::string expected = "bytes " + std::to_string(download.sent) + "-"
            + std::to_string(download.total - 1) + "/" + std::to_string(download.total);
    return m_response.getStatus() == HTTPResponse::HTTP_PARTIAL_CONTENT
            && m_response.get("ETag", "") == download.entityTag
            && m_response.get("Content-Range", "") == expected;
}

void ForwardAttempt::onResponseBody(std::string &&bytes)
{
    armTimer(stallTimeout);
    m_result.responseBytes += bytes.size();
    recordBody(bytes);
    if (!m_requestContext.caller)
        return;
    m_requestContext.download.sent += bytes.size();
    m_requestContext.caller->sendPart(bytes);
    const bool isCallerSlow = m_requestContext.caller
            && m_requestContext.caller->unsentResponseBytes() > maxUnsentBytes;
    if (m_connection && isCallerSlow)
        m_connection->setReading(false);
}

void ForwardAttempt::recordBody(std::string_view bytes)
{
    if (m_requestContext.kind.idempotent)
        return;
    const std::size_t room = maxRecordedBodyBytes - m_result.recordedBody.size();
    m_result.recordedBody.append(bytes.substr(0, room));
}

void ForwardAttempt::onResponseEnd()
{
    m_connection = nullptr;
    m_result.responseComplete = true;
    if (!m_requestContext.caller) {
        end(AttemptOutcome::CallerLeft, RefusalReason::None);
        return;
    }
    network::ResponseSink &caller = *m_requestContext.caller;
    m_requestContext.caller = nullptr;
    caller.finishResponse();
    end(AttemptOutcome::Completed, RefusalReason::None);
}

void ForwardAttempt::onAttemptFailed(network::AttemptFailure failure,
                                     const std::string & /*detail*/)
{
    m_connection = nullptr;
    // The server closed a keep-alive connection while the request was being sent (RFC 9112, 9.3.1).
    // The retry uses a new connection, so this happens at most once.
    const bool isStale = failure == network::AttemptFailure::Broken && m_isConnectionReused
            && m_requestContext.kind.idempotent && !m_requestContext.isBodyDiscarded
            && !m_result.responseStarted;
    if (isStale) {
        m_isRequestSent = false;
        start();
        return;
    }
    if (failure == network::AttemptFailure::NotConnected)
        end(AttemptOutcome::ConnectFailed, RefusalReason::BackendUnreachable);
    else
        endInterrupted(AttemptOutcome::ConnectionLost, RefusalReason::BackendUnreachable);
}

void ForwardAttempt::armTimer(core::Duration limit)
{
    m_context.loop.cancel(m_timer);
    m_unsentAtTimer = unsentBytes();
    m_timer = m_context.loop.schedule(std::max(limit, core::Duration(0)), [this] { onTimer(); });
}

std::size_t ForwardAttempt::unsentBytes() const
{
    if (m_result.responseStarted)
        return m_requestContext.caller ? m_requestContext.caller->unsentResponseBytes() : 0;
    return m_connection && !m_isRequestSent ? m_connection->unsentBytes() : 0;
}

void ForwardAttempt::onTimer()
{
    // The receiver is slow but making progress, so the attempt is not timed out.
    if (unsentBytes() > 0 && unsentBytes() < m_unsentAtTimer) {
        armTimer(stallTimeout);
        return;
    }
    const bool isCallerStalled = m_requestContext.caller && m_result.responseStarted
            && m_requestContext.caller->unsentResponseBytes() > 0;
    if (isCallerStalled) {
        m_requestContext.download.active = false;
        end(AttemptOutcome::CallerLeft, RefusalReason::None);
        return;
    }
    const bool waitsForBody = m_requestContext.isBodyStreamed && !m_requestContext.isBodyComplete
            && !m_result.responseStarted && m_connection && m_connection->unsentBytes() == 0;
    if (waitsForBody) {
        end(AttemptOutcome::CallerLeft, RefusalReason::MalformedRequest);
        return;
    }
    // If one connection is dead, older connections to the same address are probably dead as well.
    m_context.pool.drop(m_decision.address);
    endInterrupted(AttemptOutcome::TimedOut, RefusalReason::BackendTimeout);
}

void ForwardAttempt::endInterrupted(AttemptOutcome outcome, RefusalReason reason)
{
    if (m_result.responseStarted)
        end(AttemptOutcome::Truncated, RefusalReason::AnswerTruncated);
    else
        end(outcome, reason);
}

void ForwardAttempt::end(AttemptOutcome outcome, RefusalReason reason)
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_context.loop.cancel(m_timer);
    if (m_connection)
        m_connection->cancel();
    m_connection = nullptr;
    m_result.outcome = outcome;
    m_result.reason = reason;
    m_result.latency = m_context.services.clock.now() - m_startedAt;
    const bool isTruncated = m_result.responseStarted && !m_requestContext.download.active
            && outcome != AttemptOutcome::Completed;
    if (isTruncated && m_requestContext.caller) {
        network::ResponseSink &caller = *m_requestContext.caller;
        m_requestContext.caller = nullptr;
        caller.abortResponse();
    }
    m_onEnd(m_result);
}

core::Duration ForwardAttempt::remaining() const
{
    return m_requestContext.offer.deadline - m_context.services.clock.now();
}

} // namespace sardinehollow::entry
