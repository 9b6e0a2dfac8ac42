#include "sardinehollow_entry/handlers/WorkExchange.h"

#include "sardinehollow_core/hash/Sha256.h"
#include "sardinehollow_core/hash/StableHash.h"
#include "sardinehollow_entry/exchange/HeaderNames.h"
#include "sardinehollow_entry/exchange/RequestIdHeader.h"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace sardinehollow::entry {

namespace {

using Poco::Net::HTTPResponse;
using policy::AttemptOutcome;
using policy::DecisionKind;
using policy::RefusalReason;

// Larger request bodies are streamed instead of buffered, so they cannot be sent again.
constexpr std::size_t maxBufferedBodyBytes = 64 * 1024;
// The width of a cap's window: after it, the admissions counted now have left the window.
constexpr core::Duration shiftRetryAfter = std::chrono::seconds(1);
constexpr core::Duration claimRetryAfter = std::chrono::seconds(1);

/**
 * Returns the time until the deadline: what the caller set, at most the work kind's default.
 * Returns nothing if the field is malformed.
 */
std::optional<core::Duration> remainingTime(const Poco::Net::HTTPRequest &request,
                                            const config::WorkKind &kind)
{
    if (!request.has(deadlineHeader))
        return kind.defaultDeadline;
    Poco::Int64 milliseconds = 0;
    if (!Poco::NumberParser::tryParse64(request.get(deadlineHeader), milliseconds))
        return std::nullopt;
    // Clamped before the conversion to nanoseconds, which could overflow.
    const std::int64_t maxMilliseconds = kind.defaultDeadline.count();
    return std::chrono::milliseconds(std::clamp<std::int64_t>(milliseconds, 0, maxMilliseconds));
}

// Whether a peer refused for lack of a slot. With any other reason it may have tried a backend
// server.
bool isAdmissionRefusal(const AttemptResult &result)
{
    if (result.outcome != AttemptOutcome::NotRun)
        return false;
    return result.reason == RefusalReason::NoCapacity
            || result.reason == RefusalReason::OwnershipHoldOff
            || result.reason == RefusalReason::NotOwner
            || result.reason == RefusalReason::QueueFull;
}

bool mayHaveRun(AttemptOutcome outcome)
{
    return outcome != AttemptOutcome::NotRun && outcome != AttemptOutcome::ConnectFailed;
}

HTTPResponse::HTTPStatus statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::KeyMissing:
    case RefusalReason::MalformedRequest:
        return HTTPResponse::HTTP_BAD_REQUEST;
    case RefusalReason::BodyTooLarge:
        return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    case RefusalReason::KeyReused:
    case RefusalReason::KeyInProgress:
        return HTTPResponse::HTTP_CONFLICT;
    default:
        return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    }
}

} // namespace

WorkExchange::WorkExchange(EntryContext &context, network::ResponseSink &caller,
                           const Poco::Net::HTTPRequest &request, core::HttpBodyFraming framing,
                           std::shared_ptr<const config::Configuration> configuration,
                           const config::WorkKind &kind, bool fromPeer)
    : m_context(context)
    , m_peerHost(caller.peerHost())
    , m_requestContext(request, framing, std::move(configuration), kind, caller)
    , m_fromPeer(fromPeer)
{
    m_requestContext.requestId = requestIdOf(request, m_context.services);
    // Servers and peers log the same request id.
    m_requestContext.request.set(requestIdHeader, m_requestContext.requestId);
    m_requestContext.offer.arrival = m_context.services.clock.now();
    m_requestContext.offer.deadline = m_requestContext.offer.arrival;
}

void WorkExchange::start()
{
    const std::optional<core::Duration> remaining
            = remainingTime(m_requestContext.request, m_requestContext.kind);
    if (!remaining) {
        refuse(RefusalReason::MalformedRequest);
        return;
    }
    if (m_requestContext.framing.length > m_requestContext.kind.maxRequestBytes) {
        refuse(RefusalReason::BodyTooLarge);
        return;
    }
    initialiseOffer(*remaining);
    ++m_context.services.inFlight;
    m_inFlight = std::shared_ptr<void>(
            nullptr, [&services = m_context.services](void *) { --services.inFlight; });
    m_timer = m_context.loop.schedule(*remaining, [this] { onDeadline(); });
    if (m_requestContext.framing.length <= maxBufferedBodyBytes)
        return;
    m_requestContext.isBodyStreamed = true;
    offerToPolicy();
}

void WorkExchange::initialiseOffer(core::Duration remaining)
{
    policy::RequestOffer &offer = m_requestContext.offer;
    offer.id = {m_context.services.incarnation, ++m_context.services.sequence};
    offer.workKind = m_requestContext.kind.name;
    offer.callerHash = core::stableHash(callerAddress());
    offer.deadline = offer.arrival + remaining;
    offer.forwarded = m_fromPeer;
    if (!m_fromPeer)
        return;
    // Fair sharing is between callers, not between the daemons that forward their requests.
    offer.originFailureDomain = m_requestContext.request.get(originHeader, "");
    Poco::UInt64 callerHash = 0;
    if (Poco::NumberParser::tryParseUnsigned64(m_requestContext.request.get(callerHashHeader, ""),
                                               callerHash))
        offer.callerHash = callerHash;
}

std::string WorkExchange::callerAddress() const
{
    if (m_context.services.trustCallerHeader && m_requestContext.request.has(callerHeader))
        return m_requestContext.request.get(callerHeader);
    return m_peerHost;
}

std::string WorkExchange::bodyForDigest() const
{
    // How much of a streamed body has arrived varies between repeats. Such a body is identified by
    // its length and the caller's digest instead.
    if (m_requestContext.isBodyStreamed
        && m_requestContext.framing.kind == core::HttpBodyFraming::Kind::Fixed)
        return {};
    return m_requestContext.body.substr(0, maxBufferedBodyBytes);
}

void WorkExchange::onRequestBody(std::string &&bytes)
{
    if (m_phase == Phase::Ended)
        return;
    m_requestContext.bodyBytes += bytes.size();
    if (m_requestContext.bodyBytes > m_requestContext.kind.maxRequestBytes) {
        if (m_attempt)
            m_attempt->onRequestAborted(RefusalReason::BodyTooLarge);
        else
            refuse(RefusalReason::BodyTooLarge);
        return;
    }
    m_requestContext.isBodyDiscarded
            = m_requestContext.isBodyDiscarded || (m_attempt && m_attempt->isConnected());
    if (!m_requestContext.isBodyDiscarded)
        m_requestContext.body += bytes;
    if (m_attempt) {
        m_attempt->onRequestBody(bytes);
        return;
    }
    if (m_requestContext.isBodyStreamed) {
        pauseRequestBody();
        return;
    }
    if (m_requestContext.body.size() <= maxBufferedBodyBytes)
        return;
    m_requestContext.isBodyStreamed = true;
    offerToPolicy();
}

void WorkExchange::onRequestEnd()
{
    m_requestContext.isBodyComplete = true;
    if (m_phase == Phase::Reading)
        offerToPolicy();
    else if (m_attempt)
        m_attempt->onRequestEnd();
}

void WorkExchange::onRequestError(network::RequestError error)
{
    if (m_attempt) {
        m_attempt->onRequestAborted(RefusalReason::MalformedRequest);
        return;
    }
    const Problem problem = problemOf(error);
    m_context.services.metrics.countRefusal(problem.reason);
    m_record.end(RequestEnd::NotRun, problem.status, problem.reason);
    respond(problem);
    close();
}

void WorkExchange::onResponseDrained()
{
    if (m_attempt)
        m_attempt->onResponseSent();
}

void WorkExchange::onCallerLeft()
{
    m_requestContext.caller = nullptr;
    if (m_attempt) {
        m_attempt->onCallerLeft();
        return;
    }
    // While claiming, the result of the claim gate shows whether there is a claim to release.
    if (m_phase == Phase::Claiming || m_phase == Phase::Ended)
        return;
    m_context.services.metrics.add("callers_left_total");
    if (m_isClaimed && !m_mayHaveRun)
        releaseClaim();
    close();
}

void WorkExchange::onDeadline()
{
    const std::shared_ptr<WorkExchange> self = shared_from_this();
    if (m_phase == Phase::Reading) {
        refuse(RefusalReason::MalformedRequest);
        return;
    }
    if (m_phase != Phase::Held)
        return;
    m_context.exchanges.deliver(m_context.services.policy.cancel(m_requestContext.offer.id));
    policy::Decision expired;
    expired.id = m_requestContext.offer.id;
    expired.kind = DecisionKind::Refuse;
    expired.reason = RefusalReason::DeadlinePassed;
    applyDecision(expired);
}

void WorkExchange::offerToPolicy()
{
    m_requestContext.offer.fingerprint
            = core::combineHashes(core::stableHash(m_requestContext.request.getMethod() + " "
                                                   + m_requestContext.request.getURI()),
                                  core::stableHash(bodyForDigest()));
    if (!isAdmittedByShifts()) {
        refuse(RefusalReason::ShiftCap, shiftRetryAfter);
        return;
    }
    m_context.exchanges.add(m_requestContext.offer.id, shared_from_this());
    applyDecision(m_context.services.policy.offer(m_requestContext.offer));
    pauseRequestBody();
}

void WorkExchange::pauseRequestBody()
{
    const bool isWaiting
            = !m_attempt && m_requestContext.isBodyStreamed && !m_requestContext.isBodyComplete;
    if (isWaiting && m_requestContext.caller)
        m_requestContext.caller->setRequestReading(false);
}

bool WorkExchange::isAdmittedByShifts() const
{
    ShiftGate *shifts = m_context.services.shifts;
    // A forwarded request was already counted by the daemon that accepted it.
    if (m_fromPeer || shifts == nullptr || !shifts->isActive())
        return true;
    const core::Result<core::IpAddress> caller = core::IpAddress::parse(callerAddress());
    // Without a valid address the default site applies, as it does for look-ups.
    return shifts->admit(m_requestContext.kind.name, caller.value_or(core::IpAddress()));
}

void WorkExchange::onDecision(const policy::Decision &decision)
{
    if (m_phase == Phase::Held)
        applyDecision(decision);
}

void WorkExchange::applyDecision(const policy::Decision &decision)
{
    const core::Instant now = m_context.services.clock.now();
    m_record.endHold(now);
    switch (decision.kind) {
    case DecisionKind::Hold:
        m_record.startHold(now);
        m_phase = Phase::Held;
        return;
    case DecisionKind::Refuse:
    case DecisionKind::Finish:
        endUnserved(decision);
        return;
    default:
        break;
    }
    // The peer that forwarded the request has already claimed its key.
    if (!m_isClaimed && !m_requestContext.kind.idempotent && !m_fromPeer)
        startClaim(decision);
    else
        startAttempt(decision);
}

void WorkExchange::endUnserved(const policy::Decision &decision)
{
    const bool isRefused = decision.kind == DecisionKind::Refuse;
    const RefusalReason reason = isRefused ? decision.reason : m_lastReason;
    if (m_requestContext.download.active) {
        m_record.end(RequestEnd::Cut, HTTPResponse::HTTP_OK, reason);
        abortCallerResponse();
        close();
        return;
    }
    if (m_mayHaveRun) {
        respondOutcomeUnknown(reason);
        return;
    }
    if (m_isClaimed)
        releaseClaim();
    refuse(reason, isRefused ? decision.retryAfter : m_lastRetryAfter);
}

void WorkExchange::startClaim(const policy::Decision &decision)
{
    m_claim.workKind = m_requestContext.kind.name;
    m_claim.key = m_requestContext.request.get(idempotencyKeyHeader, "");
    m_claim.contentDigest = core::sha256Hex(
            m_requestContext.request.getMethod() + " " + m_requestContext.request.getURI() + "\n"
            + m_requestContext.request.get("Content-Length", "") + "\n"
            + m_requestContext.request.get("Content-Digest", "") + "\n" + bodyForDigest());
    m_claim.deadline = m_requestContext.offer.deadline;
    m_claim.retention = m_requestContext.kind.claimRetention;
    if (m_claim.key.empty()) {
        refuse(RefusalReason::KeyMissing);
        return;
    }
    m_phase = Phase::Claiming;
    // The reference is moved back to the loop's thread, so the exchange is destroyed there.
    m_context.claimThreads.run([self = shared_from_this(), decision, claim = m_claim]() mutable {
        EntryContext &context = self->m_context;
        ClaimAnswer answer {ClaimAction::Refuse, RefusalReason::DeadlinePassed, 0, {}, 0};
        if (context.services.clock.now() < claim.deadline)
            answer = context.services.claims.begin(claim);
        context.loop.post([self = std::move(self), decision, answer = std::move(answer)] {
            self->onClaimed(decision, answer);
        });
    });
}

void WorkExchange::onClaimed(const policy::Decision &decision, const ClaimAnswer &answer)
{
    m_claim.claimNumber = answer.claimNumber;
    const bool proceeds = answer.action == ClaimAction::Proceed;
    const bool isWanted = m_phase == Phase::Claiming && m_requestContext.caller;
    if (!isWanted) {
        m_context.services.metrics.add("callers_left_total");
        if (proceeds)
            releaseClaim();
        close();
        return;
    }
    switch (answer.action) {
    case ClaimAction::Proceed:
        m_isClaimed = true;
        startAttempt(decision);
        return;
    case ClaimAction::Replay:
        replay(answer);
        return;
    case ClaimAction::Unknown:
        respondOutcomeUnknown(answer.reason);
        return;
    case ClaimAction::Refuse:
        refuse(answer.reason, claimRetryAfter);
        return;
    }
}

void WorkExchange::startAttempt(const policy::Decision &decision)
{
    m_phase = Phase::Attempting;
    m_record.addTarget(decision.kind == DecisionKind::Forward ? decision.peer
                                                              : decision.backendServer);
    // Deferred, because the attempt is on the call stack when it ends.
    const auto onEnd
            = [weak = weak_from_this(), &loop = m_context.loop](const AttemptResult &result) {
                  loop.defer([weak, result] {
                      if (const std::shared_ptr<WorkExchange> self = weak.lock())
                          self->onAttemptEnd(result);
                  });
              };
    m_attempt = std::make_unique<ForwardAttempt>(m_context, m_requestContext, decision, onEnd);
    m_attempt->start();
}

void WorkExchange::onAttemptEnd(const AttemptResult &result)
{
    m_lastReason = result.reason;
    m_lastRetryAfter = result.retryAfter;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun(result.outcome);
    const policy::Decision decision = reportAttempt(result);
    if (result.outcome != AttemptOutcome::Completed)
        logFailedAttempt(result, decision);
    m_attempt.reset();
    if (m_isClaimed)
        recordOutcome(result);
    if (result.outcome == AttemptOutcome::Completed) {
        m_context.services.metrics.recordLatency(
                m_requestContext.kind.rank, m_requestContext.kind.name,
                m_context.services.clock.now() - m_requestContext.offer.arrival);
        m_record.end(RequestEnd::Complete, result.status, RefusalReason::None);
        close();
        return;
    }
    if (result.outcome == AttemptOutcome::CallerLeft) {
        endAfterCallerLeft(result);
        return;
    }
    if (result.responseStarted && !m_requestContext.download.active) {
        m_record.end(RequestEnd::Cut, result.status, result.reason);
        close();
        return;
    }
    if (decision.kind != DecisionKind::Finish)
        m_context.services.metrics.countRetry(result.reason);
    applyDecision(decision);
    pauseRequestBody();
}

void WorkExchange::logFailedAttempt(const AttemptResult &result, const policy::Decision &next)
{
    const policy::Decision &decision = m_attempt->decision();
    const bool isForward = decision.kind == DecisionKind::Forward;
    logging::LogLine line("attempt-failed");
    line.text("id", m_requestContext.requestId)
            .text(isForward ? "peer" : "server", isForward ? decision.peer : decision.backendServer)
            .number("attempt", decision.attempt)
            .text("outcome", policy::toName(result.outcome))
            .text("reason", policy::toName(result.reason))
            .number("status", result.status)
            .number("bytes", static_cast<std::int64_t>(result.responseBytes))
            .milliseconds("ms", result.latency)
            .text("next", policy::toName(next.kind))
            .text("nextReason", policy::toName(next.reason));
    m_context.services.log.writeRequest(line, m_context.services.clock.now());
}

policy::Decision WorkExchange::reportAttempt(const AttemptResult &result)
{
    const policy::Decision &decision = m_attempt->decision();
    policy::AttemptReport report;
    report.id = m_requestContext.offer.id;
    report.attempt = decision.attempt;
    report.refusedByPeer = decision.kind == DecisionKind::Forward && isAdmissionRefusal(result);
    report.outcome = result.outcome;
    report.now = m_context.services.clock.now();
    report.latency = result.latency;
    report.responseBytes = result.responseBytes;
    // A discarded body cannot be sent again, so the policy must not retry the request.
    report.responseStarted = (result.responseStarted && !m_requestContext.download.active)
            || m_requestContext.isBodyDiscarded;
    std::vector<policy::Decision> decisions = m_context.services.policy.complete(report);
    policy::Decision ownDecision;
    ownDecision.id = m_requestContext.offer.id;
    ownDecision.kind = DecisionKind::Finish;
    if (!decisions.empty() && decisions.front().id == m_requestContext.offer.id) {
        ownDecision = decisions.front();
        decisions.erase(decisions.begin());
    }
    m_context.exchanges.deliver(decisions);
    return ownDecision;
}

void WorkExchange::recordOutcome(const AttemptResult &result)
{
    const bool isComplete = result.outcome == AttemptOutcome::Completed
            || (result.outcome == AttemptOutcome::CallerLeft && result.responseComplete);
    if (!isComplete)
        return;
    // Only the beginning of a large response body is recorded; such a response cannot be replayed.
    const bool isFullyRecorded = result.recordedBody.size() == result.responseBytes;
    m_context.claimThreads.run([&services = m_context.services, inFlight = m_inFlight,
                                claim = m_claim, status = isFullyRecorded ? result.status : 0,
                                body = isFullyRecorded ? result.recordedBody : std::string()] {
        services.claims.finish(claim, status, body);
    });
}

void WorkExchange::releaseClaim()
{
    m_isClaimed = false;
    m_context.claimThreads.run([&services = m_context.services, inFlight = m_inFlight,
                                claim = m_claim] { services.claims.release(claim); });
}

void WorkExchange::endAfterCallerLeft(const AttemptResult &result)
{
    const bool canRespond = result.reason == RefusalReason::BodyTooLarge && !result.responseStarted;
    if (!canRespond) {
        m_context.services.metrics.add("callers_left_total");
        abortCallerResponse();
        close();
        return;
    }
    // A part of the body may have reached a backend server, so the outcome is not known.
    m_context.services.metrics.countRefusal(result.reason);
    Problem problem;
    problem.status = HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    problem.outcome = Outcome::Unknown;
    problem.reason = result.reason;
    m_record.end(RequestEnd::Unknown, problem.status, problem.reason);
    respond(problem);
    close();
}

void WorkExchange::refuse(RefusalReason reason, core::Duration retryAfter)
{
    m_context.services.metrics.countRefusal(reason);
    Problem problem;
    problem.status = statusOf(reason);
    problem.reason = reason;
    problem.retryAfter = retryAfter;
    m_record.end(RequestEnd::NotRun, problem.status, reason);
    respond(problem);
    close();
}

void WorkExchange::respondOutcomeUnknown(RefusalReason reason)
{
    m_context.services.metrics.countRefusal(reason);
    Problem problem;
    problem.status = HTTPResponse::HTTP_BAD_GATEWAY;
    problem.outcome = Outcome::Unknown;
    problem.reason = reason;
    m_record.end(RequestEnd::Unknown, problem.status, reason);
    respond(problem);
    close();
}

void WorkExchange::replay(const ClaimAnswer &answer)
{
    HTTPResponse response(static_cast<HTTPResponse::HTTPStatus>(answer.status));
    response.set(outcomeHeader, std::string(toName(Outcome::Complete)));
    response.set(requestIdHeader, m_requestContext.requestId);
    response.set(generationHeader, std::to_string(m_requestContext.configuration->generation));
    m_record.end(RequestEnd::Replayed, answer.status, RefusalReason::None);
    network::ResponseSink &caller = *m_requestContext.caller;
    m_requestContext.caller = nullptr;
    caller.sendResponse(response, answer.body);
    close();
}

void WorkExchange::respond(Problem problem)
{
    if (!m_requestContext.caller)
        return;
    problem.generation = m_requestContext.configuration->generation;
    problem.requestId = m_requestContext.requestId;
    network::ResponseSink &caller = *m_requestContext.caller;
    m_requestContext.caller = nullptr;
    sendProblem(caller, problem);
}

void WorkExchange::abortCallerResponse()
{
    if (!m_requestContext.caller)
        return;
    network::ResponseSink &caller = *m_requestContext.caller;
    m_requestContext.caller = nullptr;
    caller.abortResponse();
}

void WorkExchange::close()
{
    if (m_phase == Phase::Ended)
        return;
    m_phase = Phase::Ended;
    m_context.loop.cancel(m_timer);
    const core::Instant now = m_context.services.clock.now();
    m_record.endHold(now);
    m_context.services.log.writeRequestWith(
            [&] { return m_record.line(m_requestContext, callerAddress(), now); }, now);
    m_context.exchanges.deliver(m_context.services.policy.cancel(m_requestContext.offer.id));
    m_inFlight.reset();
    m_context.exchanges.remove(m_requestContext.offer.id);
}

} // namespace sardinehollow::entry
