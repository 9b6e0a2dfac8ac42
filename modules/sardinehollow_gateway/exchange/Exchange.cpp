#include "sardinehollow_gateway/exchange/Exchange.h"

#include "sardinehollow_core/hash/StableHash.h"
#include "sardinehollow_gateway/exchange/Refusal.h"
#include "sardinehollow_gateway/exchange/ResponseFailure.h"
#include "sardinehollow_gateway/exchange/ServerStatements.h"
#include "sardinehollow_network/http/MessageWriter.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace sardinehollow::gateway {

namespace {

using Poco::Net::HTTPResponse;

// Request bodies up to this size are buffered before they are forwarded, and can be retried.
constexpr std::size_t maximumBufferedBodyBytes = 64 * 1024;
// Responses up to this size are buffered before they are delivered, so that a truncated one leads
// to a retry or an error response, not to a truncated response for the caller.
constexpr std::size_t maximumBufferedResponseBytes = 512 * 1024;
// The same while the daemon's ResponseBudget is exceeded.
constexpr std::size_t reducedBufferedResponseBytes = 16 * 1024;
// A response that is not delivered is read up to this size: the server did not run the request or
// did not sign the response, or callers would take the status for a statement that it did not run.
constexpr std::size_t maximumUndeliverableBytes = 64 * 1024;
// Unsent bytes to a slow peer above which reading from the other side pauses (backpressure).
constexpr std::size_t maximumUnsentBytes = 256 * 1024;
// Retry-After of refusals: about the service time of one request at the present deployments.
constexpr core::Duration minimumRetryAfter = std::chrono::milliseconds(300);
// With less time left, another attempt is unlikely to succeed.
constexpr core::Duration minimumAttemptTime = std::chrono::milliseconds(30);
constexpr double percent = 100;
// Failed connections do not count as attempts, but are bounded because they take time.
constexpr std::uint32_t maximumConnectionFailures = 3;
// The server may have closed or dropped a connection that was idle for longer, without a sign. It
// is then unknown whether a request sent on it ran, so that the limit is short for requests that
// are not idempotent.
constexpr core::Duration idleLimitForNonIdempotent = std::chrono::seconds(2);
constexpr core::Duration idleLimitForIdempotent = std::chrono::seconds(60);

RetryReason toRetryReason(network::AttemptFailure failure)
{
    switch (failure) {
    case network::AttemptFailure::NotConnected:
        return RetryReason::NotConnected;
    case network::AttemptFailure::Broken:
        return RetryReason::Broken;
    case network::AttemptFailure::InvalidResponse:
        return RetryReason::InvalidResponse;
    }
    return RetryReason::Broken;
}

void appendHome(logging::LogLine &line, const std::string &name, const routing::HomeState &home)
{
    if (home.server.empty())
        return;
    line.text(name, home.server).number(name + "Load", static_cast<std::int64_t>(home.load));
    if (home.rank > 0)
        line.number(name + "Rank", static_cast<std::int64_t>(home.rank));
    // Without a report the load is estimated from this daemon's own requests.
    if (home.reportAge)
        line.milliseconds(name + "ReportAgeMs", *home.reportAge);
}

} // namespace

Exchange::Exchange(GatewayServices &services, network::ResponseSink &sink,
                   const Poco::Net::HTTPRequest &request, core::HttpBodyFraming framing)
    : m_services(services)
    , m_sink(sink)
    , m_request(request)
    , m_framing(framing)
    , m_requestFields(services.protocol.readCallerRequest(m_request))
    , m_caller(sink.peerHost())
    , m_startedAt(services.loop.now())
    , m_retryAfter(minimumRetryAfter)
    , m_usage(services.quotas, services.demand)
    , m_heldBytes(services.responseBudget, network::ResponseBudget::Purpose::HeldBack)
{ }

Exchange::~Exchange()
{
    m_services.loop.cancel(m_timer);
    cancelBackendRequest();
}

void Exchange::start()
{
    m_table = m_services.routing.table();
    if (m_request.get("Host", "").empty()) {
        refuse(RequestOutcome::Malformed, "the request has no Host header");
        return;
    }
    if (m_services.isRefusing) {
        refuse(RequestOutcome::Leaving, "the daemon is shutting down; use another one");
        return;
    }
    if (!m_table) {
        refuse(RequestOutcome::NoConfiguration, "no configuration has been read yet");
        return;
    }
    m_route = m_table->find(m_request.get("Host", ""), m_request.getURI());
    if (!m_route) {
        deny(RequestOutcome::NoRoute, "no route matches the host and path");
        return;
    }
    m_identity = CallerIdentity(*m_table, *m_route, m_requestFields.teamKey);
    if (m_identity.denial()) {
        deny(RequestOutcome::Unauthorized,
             m_identity.denial() == DenialReason::MissingKey ? "the request has no readable key"
                                                             : "no team has the request's key");
        return;
    }
    if (m_framing.kind == core::HttpBodyFraming::Kind::Fixed
        && m_framing.length > m_table->configuration().limits.bodyBytes) {
        deny(RequestOutcome::BodyTooLarge, "the request body exceeds the configured limit");
        return;
    }
    const core::Duration wait
            = std::min(m_requestFields.timeLeft.value_or(m_route->timeout), m_route->timeout);
    if (m_services.isLeaving && m_startedAt + wait > m_services.stopsAt) {
        refuse(RequestOutcome::Leaving,
               "the daemon stops before the request's time is up; use another one");
        return;
    }
    m_deadline = m_startedAt + m_requestFields.timeLeft.value_or(m_route->timeout);
    const bool hasHome = m_route->hasAffinity && !m_requestFields.object.empty();
    m_objectHash = core::stableHash(hasHome ? m_requestFields.object : m_requestFields.requestId);
    m_service = m_services.routing.assignService(*m_route);
    m_timer = m_services.loop.schedule(wait, [this] { onTimeout(); });
}

void Exchange::onRequestBody(std::string &&bytes)
{
    m_bodyBytes += bytes.size();
    if (m_isFinished)
        return;
    if (m_bodyBytes > m_table->configuration().limits.bodyBytes) {
        deny(RequestOutcome::BodyTooLarge, "the request body exceeds the configured limit");
        return;
    }
    if (m_isBodyStreamed) {
        sendBody(bytes);
        return;
    }
    m_body += bytes;
    if (m_body.size() <= maximumBufferedBodyBytes)
        return;
    m_isBodyStreamed = true;
    attempt();
}

void Exchange::onRequestEnd()
{
    m_isBodyWhole = true;
    if (m_isFinished)
        return;
    if (m_isBodyStreamed)
        endBody();
    else
        attempt();
}

void Exchange::attempt()
{
    const core::Instant now = m_services.loop.now();
    // The close may lie behind bytes of the caller that are still unread.
    if (m_sink.hasCallerLeft()) {
        m_services.metrics.countAttemptAfterClose(!m_tried.empty());
        finish(RequestOutcome::CallerLeft, 0, "the caller closed its connection before an attempt");
        return;
    }
    if (m_tried.empty())
        m_requestHash = requestHash();
    if (m_services.routing.quarantine().contains(m_requestHash, now)) {
        finishQuarantined();
        return;
    }
    if (m_tried.empty() && !passesQuota(now))
        return;
    const routing::Selection selection
            = m_services.routing.select(scope(), m_service, m_objectHash, m_tried, now);
    m_selectionReason = selection.reason;
    m_retryAfter = std::max(selection.retryAfter.value_or(minimumRetryAfter), minimumRetryAfter);
    if (m_tried.empty())
        m_selectionInputs = selection.inputs;
    if (!selection.server) {
        if (m_mayHaveRun) {
            finish(RequestOutcome::OutcomeUnknown, HTTPResponse::HTTP_BAD_GATEWAY,
                   "no other server has capacity for a retry");
            return;
        }
        refuse(selection.reason == routing::SelectionReason::NoServer ? RequestOutcome::NoServer
                                                                      : RequestOutcome::Overloaded,
               std::string(toName(selection.reason)));
        return;
    }
    const routing::HomeState &home = selection.reason == routing::SelectionReason::FarHome
            ? selection.inputs.far
            : selection.inputs.near;
    if (home.rank > 0 && home.server == selection.server->server().id)
        m_services.metrics.countEvenedSelection();
    send(selection);
}

bool Exchange::passesQuota(core::Instant now)
{
    const routing::Team *team = m_identity.team();
    if (team && !m_services.quotas.admit(*team, now)) {
        m_retryAfter = std::max(m_services.quotas.retryAfter(*team, now), minimumRetryAfter);
        refuse(RequestOutcome::OverQuota, "the team's quota is exceeded");
        return false;
    }
    m_services.demand.onArrival(m_service);
    return true;
}

void Exchange::finishQuarantined()
{
    constexpr const char *detail
            = "the request is quarantined: backend servers crashed while running it";
    m_services.routing.quarantine().onRefused(m_requestHash, m_services.loop.now());
    if (m_mayHaveRun)
        finish(RequestOutcome::OutcomeUnknown, HTTPResponse::HTTP_BAD_GATEWAY, detail);
    else
        refuse(RequestOutcome::Quarantined, detail);
}

std::uint64_t Exchange::requestHash() const
{
    // Only what the server gets: the same request may come from any caller, over any connection.
    const std::string head = m_request.getMethod() + " "
            + routing::RouteTable::hostName(m_request.get("Host", "")) + m_request.getURI();
    // Of a streamed body, the buffered part varies with how it arrived.
    const std::string_view body = std::string_view(m_body).substr(0, maximumBufferedBodyBytes);
    return core::combineHashes(core::stableHash(head), core::stableHash(body));
}

void Exchange::send(const routing::Selection &selection)
{
    const routing::BackendStatePtr &server = selection.server;
    m_server = server;
    m_tried.insert(server->server().id);
    try {
        m_backend = &m_services.pool.take(
                server, m_route->isIdempotent ? idleLimitForIdempotent : idleLimitForNonIdempotent);
    } catch (const Poco::Exception &exception) {
        endAttempt(RetryReason::NotConnected, exception.displayText());
        return;
    }
    m_services.routing.takePermits(*server, m_services.loop.now());
    m_usage.begin(m_identity.team(), m_service, server->region(), m_services.loop.now());
    ++m_attempts;
    Poco::Net::HTTPRequest request = m_request;
    network::removeHopByHopFields(request);
    m_identity.applyTo(request, m_services.protocol);
    m_services.protocol.setTargetServer(request, server->server().id, timeLeft());
    if (m_isBodyStreamed && m_framing.kind == core::HttpBodyFraming::Kind::Chunked)
        request.set("Transfer-Encoding", "chunked");
    else if (m_isBodyStreamed)
        request.set("Content-Length", std::to_string(m_framing.length));
    else if (m_framing.kind != core::HttpBodyFraming::Kind::None)
        request.set("Content-Length", std::to_string(m_body.size()));
    if (m_isBodyStreamed) {
        m_backend->start(network::toText(request), request.getMethod(), m_requestFields.requestId,
                         *this);
        sendBody(m_body);
        m_body.clear();
        return;
    }
    m_backend->start(network::toText(request) + m_body, request.getMethod(),
                     m_requestFields.requestId, *this);
    if (m_backend)
        m_backend->finishRequest();
}

void Exchange::sendBody(std::string_view bytes)
{
    if (!m_backend || bytes.empty())
        return;
    const bool isChunked = m_framing.kind == core::HttpBodyFraming::Kind::Chunked;
    m_backend->send(isChunked ? network::toChunk(bytes) : std::string(bytes));
    if (m_backend && m_backend->unsentBytes() > maximumUnsentBytes)
        m_sink.setRequestReading(false);
}

void Exchange::endBody()
{
    if (!m_backend)
        return;
    if (m_framing.kind == core::HttpBodyFraming::Kind::Chunked)
        m_backend->send(network::toChunk({}));
    if (m_backend)
        m_backend->finishRequest();
}

void Exchange::onRequestDrained()
{
    m_sink.setRequestReading(true);
}

core::Duration Exchange::timeLeft() const
{
    return std::max(m_deadline - m_services.loop.now(),
                    core::Duration(std::chrono::milliseconds(1)));
}

void Exchange::onResponseHead(const HTTPResponse &response, bool hasKnownLength)
{
    m_response = response;
    m_responseFields = m_services.protocol.readBackendResponse(response);
    m_hasKnownLength = hasKnownLength;
    m_responseBody.clear();
    m_heldBytes.set(0);
    if (!m_responseFields.isSigned)
        m_services.metrics.countUnsignedResponse(response.getStatus());
    ServerStatements(m_services, *m_server, m_responseFields, m_requestFields.requestId).apply();
}

void Exchange::onResponseBody(std::string &&bytes)
{
    if (m_isStreaming) {
        m_sink.sendPart(bytes);
        limitUnsentBytes();
        return;
    }
    m_responseBody += bytes;
    m_heldBytes.set(m_responseBody.size());
    const bool isDeliverable = mayBeStreamed(m_responseFields);
    const std::size_t limit = m_services.responseBudget.isExceeded() ? reducedBufferedResponseBytes
                                                                     : maximumBufferedResponseBytes;
    if (isDeliverable && m_responseBody.size() > limit) {
        startStreaming();
    } else if (!isDeliverable && m_responseBody.size() > maximumUndeliverableBytes) {
        cancelBackendRequest();
        m_server->onFailure(m_services.loop.now());
        endAttempt(RetryReason::InvalidResponse,
                   "the body of a response that cannot be delivered exceeds its limit");
    }
}

void Exchange::startStreaming()
{
    m_isStreaming = true;
    HTTPResponse response = *m_response;
    const std::string length = response.get("Content-Length", "");
    network::removeHopByHopFields(response);
    if (m_hasKnownLength)
        response.set("Content-Length", length);
    m_sink.startResponse(response);
    m_sink.sendPart(m_responseBody);
    // clear() would keep the memory.
    std::string().swap(m_responseBody);
    m_heldBytes.set(0);
    limitUnsentBytes();
}

void Exchange::limitUnsentBytes()
{
    const std::size_t limit = m_services.responseBudget.isExceeded() ? 0 : maximumUnsentBytes;
    if (m_backend && m_sink.unsentResponseBytes() > limit)
        m_backend->setReading(false);
}

void Exchange::onResponseDrained()
{
    if (m_backend)
        m_backend->setReading(true);
}

void Exchange::onResponseEnd()
{
    m_backend = nullptr;
    const int status = m_response->getStatus();
    if (m_isStreaming) {
        recordServerAnswer();
        m_sink.finishResponse();
        finish(RequestOutcome::Delivered, status, "streamed");
        return;
    }
    if (m_responseFields.isMisdirected)
        m_server->onReplaced(m_services.loop.now());
    if (const std::optional<ResponseFailure> failure = findFailure(status, m_responseFields)) {
        endAttempt(failure->reason, failure->detail);
        return;
    }
    if (status >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR && mayRetry(RetryReason::ServerError)) {
        m_services.metrics.countFailedAttempt(RetryReason::ServerError);
        logFailedAttempt(RetryReason::ServerError,
                         "the server responded with status " + std::to_string(status));
        m_usage.complete(m_services.loop.now());
        m_mayHaveRun = true;
        attempt();
        return;
    }
    recordServerAnswer();
    deliver();
}

void Exchange::cutResponse(const std::string &detail)
{
    m_sink.abortResponse();
    finish(RequestOutcome::ResponseCut, m_response->getStatus(), detail);
}

void Exchange::recordServerAnswer()
{
    m_usage.complete(m_services.loop.now());
    m_server->onSuccess();
    // A server may fail a request without running it far enough to crash.
    if (m_response->getStatus() >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
        return;
    if (m_services.routing.quarantine().onRequestCompleted(m_requestHash))
        m_services.log.write(
                ServerStatements::line("quarantine-ended", *m_server, m_requestFields.requestId)
                        .hash("request", m_requestHash));
}

void Exchange::deliver()
{
    HTTPResponse response = *m_response;
    const std::string length = response.get("Content-Length", "");
    const int status = response.getStatus();
    network::removeHopByHopFields(response);
    // A response to HEAD has a Content-Length but no body.
    if (m_request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD && !length.empty())
        response.set("Content-Length", length);
    m_sink.sendResponse(response, m_responseBody);
    finish(RequestOutcome::Delivered, status, std::string(toName(m_selectionReason)));
}

void Exchange::onAttemptFailed(network::AttemptFailure failure, const std::string &detail)
{
    m_backend = nullptr;
    if (failure == network::AttemptFailure::NotConnected)
        m_server->onConnectFailed(m_services.loop.now(),
                                  detail == network::connectionRefused
                                          ? routing::ConnectFailure::Refused
                                          : routing::ConnectFailure::Unreachable);
    else
        m_server->onFailure(m_services.loop.now());
    if (failure == network::AttemptFailure::Broken)
        m_services.routing.quarantine().onConnectionLost(m_requestHash, m_server,
                                                         m_services.loop.now());
    if (m_isStreaming) {
        cutResponse(detail);
        return;
    }
    if (failure != network::AttemptFailure::InvalidResponse)
        m_services.pool.dropIdle(*m_server);
    endAttempt(toRetryReason(failure), detail);
}

void Exchange::endAttempt(RetryReason reason, const std::string &detail)
{
    m_usage.abandon(canHaveRun(reason));
    m_services.metrics.countFailedAttempt(reason);
    logFailedAttempt(reason, detail);
    m_mayHaveRun = m_mayHaveRun || canHaveRun(reason);
    if (reason == RetryReason::NotConnected) {
        ++m_connectionFailures;
        m_attempts -= std::min(m_attempts, 1U);
    }
    if (mayRetry(reason))
        attempt();
    else
        finishFailed(reason, detail);
}

void Exchange::logFailedAttempt(RetryReason reason, const std::string &detail)
{
    const core::Instant now = m_services.loop.now();
    logging::LogLine line("attempt-failed");
    line.text("id", m_requestFields.requestId)
            .hash("request", m_requestHash)
            .text("server", m_server ? m_server->server().id : "")
            .text("reason", toName(reason))
            .text("detail", detail)
            .number("attempt", m_attempts)
            .number("consecutiveFailures", m_server ? m_server->consecutiveFailures() : 0)
            .number("load", m_server ? static_cast<std::int64_t>(m_server->load(now)) : 0)
            .number("slots", m_server ? m_server->server().slots : 0)
            .milliseconds("ms", now - m_startedAt);
    m_services.log.writeRequest(line, now);
}

bool Exchange::mayRetry(RetryReason reason)
{
    const core::Instant now = m_services.loop.now();
    const bool isAllowed = (m_route->isIdempotent || !m_mayHaveRun)
            && (m_route->isIdempotent || !canHaveRun(reason)) && !m_isBodyStreamed
            && m_attempts < m_route->maximumAttempts
            && m_connectionFailures <= maximumConnectionFailures
            && m_deadline - now > minimumAttemptTime;
    if (!isAllowed)
        return false;
    // An attempt that reached no server adds no load to any, so that it needs no retry permit.
    return reason == RetryReason::NotConnected
            || m_services.routing.takeRetryPermit(m_service, now);
}

void Exchange::finishFailed(RetryReason reason, const std::string &detail)
{
    if (m_mayHaveRun)
        finish(RequestOutcome::OutcomeUnknown, HTTPResponse::HTTP_BAD_GATEWAY, detail);
    else if (reason == RetryReason::NotConnected)
        refuse(RequestOutcome::NoServer, detail);
    else
        refuse(RequestOutcome::NotRun, detail);
}

void Exchange::onTimeout()
{
    const bool wasSent = m_attempts > 0;
    abandonAttempt();
    if (m_isStreaming) {
        cutResponse("the response did not end within the timeout");
        return;
    }
    if (!wasSent && !m_isBodyWhole) {
        refuse(RequestOutcome::RequestTimeout,
               "the request body did not arrive within the timeout");
        return;
    }
    finish(RequestOutcome::TimedOut, HTTPResponse::HTTP_GATEWAY_TIMEOUT,
           "no response within the timeout");
}

void Exchange::onRequestError(network::RequestError error)
{
    const RequestOutcome outcome = toOutcome(error);
    if (outcome == RequestOutcome::HeaderTooLarge)
        deny(outcome, "the request's head exceeds the limits");
    else
        refuse(outcome, "the request could not be read completely");
}

void Exchange::onCallerLeft()
{
    if (m_isFinished)
        return;
    abandonAttempt();
    finish(RequestOutcome::CallerLeft, 0, "the caller closed its connection");
}

void Exchange::refuse(RequestOutcome outcome, const std::string &detail)
{
    finish(outcome, statusOf(outcome), detail);
}

// A caller does not repeat a request that was denied, and a newer configuration may allow it. After
// an attempt it would be wrong to state that the request did not run.
void Exchange::deny(RequestOutcome outcome, const std::string &detail)
{
    const std::optional<core::Duration> age = knowledgeAge();
    const bool isOutdated
            = m_services.storeKnowledge && (!age || *age > m_services.maximumKnowledgeAge);
    refuse(isOutdated && m_attempts == 0 ? RequestOutcome::ConfigurationOutdated : outcome, detail);
}

void Exchange::finish(RequestOutcome outcome, int status, const std::string &detail)
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_usage.abandon(true);
    m_heldBytes.set(0);
    m_services.loop.cancel(m_timer);
    const core::Instant now = m_services.loop.now();
    m_services.metrics.countOutcome(outcome);
    reportAdmission(outcome, now);
    if (outcome == RequestOutcome::Delivered)
        m_services.metrics.recordLatency(m_service, now - m_startedAt);
    const std::optional<DenialReason> denial = denialOf(outcome);
    if (denial)
        m_services.metrics.countDenial(*denial);
    using RequestClass = logging::EventLog::RequestClass;
    const bool isVerdict = denial || outcome == RequestOutcome::ConfigurationOutdated;
    m_services.log.writeRequestWith([&] { return requestLine(outcome, status, detail, now); }, now,
                                    isVerdict ? RequestClass::Denied : RequestClass::Usual);
    const bool isAnswered = outcome == RequestOutcome::Delivered
            || outcome == RequestOutcome::CallerLeft || outcome == RequestOutcome::ResponseCut;
    if (isAnswered)
        return;
    HTTPResponse response
            = makeRefusal(status, m_retryAfter, m_services.protocol.authenticationChallenge());
    m_sink.sendResponse(response, "{\"title\":\"" + std::string(toName(outcome)) + "\"}");
}

std::optional<DenialReason> Exchange::denialOf(RequestOutcome outcome) const
{
    switch (outcome) {
    case RequestOutcome::NoRoute:
        return DenialReason::NoRoute;
    case RequestOutcome::Unauthorized:
        return m_identity.denial();
    case RequestOutcome::Malformed:
        return DenialReason::Malformed;
    case RequestOutcome::HeaderTooLarge:
        return DenialReason::HeaderTooLarge;
    case RequestOutcome::BodyTooLarge:
        return DenialReason::BodyTooLarge;
    default:
        return std::nullopt;
    }
}

std::optional<core::Duration> Exchange::knowledgeAge() const
{
    return m_services.storeKnowledge ? m_services.storeKnowledge->age() : std::nullopt;
}

void Exchange::reportAdmission(RequestOutcome outcome, core::Instant now)
{
    using routing::AdmissionOutcome;
    // A pause or a request limit of the servers says nothing about their load, and has its own
    // Retry-After.
    const bool isRefused = outcome == RequestOutcome::Overloaded
            && m_selectionReason != routing::SelectionReason::NoPermit;
    const bool isServed
            = outcome == RequestOutcome::Delivered || outcome == RequestOutcome::TimedOut;
    if (!isRefused && (!isServed || !m_server))
        return;
    routing::RankAdmission &admission = m_services.routing.admission();
    const int rank = scope().rank();
    if (isRefused) {
        m_services.metrics.countOverload(rank);
        m_retryAfter = admission.retryAfter(m_service, rank, m_deadline - now, now);
    }
    // Requests that are late at a server with free slots run long by themselves, for example
    // because their object is not cached: less work of other ranks would not help them.
    const bool isLate = isServed && now - m_startedAt > m_route->latencyObjective
            && m_server->load(now) >= m_server->server().slots;
    const AdmissionOutcome served = isLate ? AdmissionOutcome::Late : AdmissionOutcome::InTime;
    admission.onOutcome(m_service, rank, scope().teamHash(),
                        isRefused ? AdmissionOutcome::Refused : served, now);
}

logging::LogLine Exchange::requestLine(RequestOutcome outcome, int status,
                                       const std::string &detail, core::Instant now) const
{
    logging::LogLine line("request");
    line.text("id", m_requestFields.requestId)
            .text("caller", m_caller)
            .text("route", m_route ? m_route->name : "")
            .text("service", m_service)
            .number("configuration",
                    m_table ? static_cast<std::int64_t>(m_table->configuration().version) : 0)
            .text("object", m_requestFields.object)
            .number("rank", m_route ? scope().rank() : 0)
            .text("selection", toName(m_selectionReason))
            .number("attempts", m_attempts)
            .text("outcome", toName(outcome))
            .number("status", status)
            .milliseconds("ms", now - m_startedAt)
            .text("detail", detail);
    if (outcome == RequestOutcome::Delivered)
        line.number("signed", m_responseFields.isSigned ? 1 : 0);
    else if (const std::optional<core::Duration> age = knowledgeAge())
        line.milliseconds("knowledgeAgeMs", *age);
    if (m_identity.team())
        line.text("team", m_identity.team()->name);
    appendHome(line, "near", m_selectionInputs.near);
    appendHome(line, "far", m_selectionInputs.far);
    if (m_requestHash != 0 && outcome != RequestOutcome::Delivered)
        line.hash("request", m_requestHash);
    line.number("spillPercent", static_cast<std::int64_t>(m_selectionInputs.spillLevel * percent));
    if (m_selectionInputs.meanLoad)
        line.number("regionLoadPercent",
                    static_cast<std::int64_t>(*m_selectionInputs.meanLoad * percent));
    if (m_selectionInputs.spillTarget)
        line.number("spillTargetPercent",
                    static_cast<std::int64_t>(*m_selectionInputs.spillTarget * percent));
    // A refusal at a low load follows from the limits of the rank.
    if (outcome == RequestOutcome::Overloaded) {
        const double limit = m_services.routing.admission()
                                     .limitsFor(m_service, scope().rank(), scope().teamHash(), now)
                                     .maximum;
        line.number("loadLimitPercent", static_cast<std::int64_t>(limit * percent));
    }
    std::string servers;
    for (const std::string &id : m_tried)
        servers += (servers.empty() ? "" : " ") + id;
    line.text("servers", servers);
    return line;
}

void Exchange::abandonAttempt()
{
    if (m_backend && m_backend->isConnected() && !m_isStreaming)
        m_services.routing.quarantine().onAttemptAbandoned(m_requestHash, m_server,
                                                           m_services.loop.now());
    // Without a connection nothing was sent.
    if (m_backend)
        m_usage.abandon(m_backend->isConnected());
    cancelBackendRequest();
}

void Exchange::cancelBackendRequest()
{
    if (!m_backend)
        return;
    m_backend->cancel();
    m_backend = nullptr;
}

} // namespace sardinehollow::gateway
