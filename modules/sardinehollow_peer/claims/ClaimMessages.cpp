#include "sardinehollow_peer/claims/ClaimMessages.h"

#include "sardinehollow_peer/generated/peer.pb.h"

#include <algorithm>
#include <limits>

namespace sardinehollow::peer {

namespace {

using Result = ClaimVerdict::Result;

wire::ClaimRequest::Operation toWire(ClaimOperation operation)
{
    switch (operation) {
    case ClaimOperation::Begin:
        return wire::ClaimRequest::OPERATION_BEGIN;
    case ClaimOperation::Finish:
        return wire::ClaimRequest::OPERATION_FINISH;
    case ClaimOperation::Release:
        return wire::ClaimRequest::OPERATION_RELEASE;
    }
    return wire::ClaimRequest::OPERATION_UNSPECIFIED;
}

ClaimOperation fromWire(wire::ClaimRequest::Operation operation)
{
    if (operation == wire::ClaimRequest::OPERATION_FINISH)
        return ClaimOperation::Finish;
    if (operation == wire::ClaimRequest::OPERATION_RELEASE)
        return ClaimOperation::Release;
    return ClaimOperation::Begin;
}

wire::ClaimReply::Result toWire(Result result)
{
    switch (result) {
    case Result::Proceed:
        return wire::ClaimReply::RESULT_PROCEED;
    case Result::Replay:
        return wire::ClaimReply::RESULT_REPLAY;
    case Result::Unknown:
        return wire::ClaimReply::RESULT_UNKNOWN;
    case Result::Refuse:
        return wire::ClaimReply::RESULT_REFUSE;
    }
    return wire::ClaimReply::RESULT_UNSPECIFIED;
}

Result fromWire(wire::ClaimReply::Result result)
{
    if (result == wire::ClaimReply::RESULT_PROCEED)
        return Result::Proceed;
    if (result == wire::ClaimReply::RESULT_REPLAY)
        return Result::Replay;
    if (result == wire::ClaimReply::RESULT_REFUSE)
        return Result::Refuse;
    // A result that a later version adds must not be read as proof that the request did not run.
    return Result::Unknown;
}

} // namespace

wire::Envelope toEnvelope(const ClaimCall &call, core::Instant now)
{
    wire::Envelope envelope;
    wire::ClaimRequest &request = *envelope.mutable_claim_request();
    request.set_call_id(call.id.number);
    request.set_claim_incarnation(call.id.incarnation);
    request.set_operation(toWire(call.operation));
    request.set_work_kind(call.workKind);
    request.set_key(call.key);
    request.set_content_digest(call.contentDigest);
    const auto remaining
            = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now).count();
    request.set_remaining_ms(static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(remaining, 0, std::numeric_limits<std::uint32_t>::max())));
    request.set_status(call.status);
    request.set_body(call.body);
    return envelope;
}

wire::Envelope toEnvelope(const ClaimResponse &response)
{
    wire::Envelope envelope;
    wire::ClaimReply &reply = *envelope.mutable_claim_reply();
    reply.set_call_id(response.id.number);
    reply.set_claim_incarnation(response.id.incarnation);
    reply.set_operation(toWire(response.operation));
    reply.set_result(toWire(response.verdict.result));
    reply.set_reason(std::string(policy::toName(response.verdict.reason)));
    reply.set_status(response.verdict.status);
    reply.set_body(response.verdict.body);
    reply.set_unconfirmed(!response.verdict.confirmed);
    return envelope;
}

ClaimCall toClaimCall(const wire::Envelope &envelope, core::Instant now)
{
    const wire::ClaimRequest &request = envelope.claim_request();
    ClaimCall call;
    call.operation = fromWire(request.operation());
    call.id = {envelope.sender_id(), request.claim_incarnation(), request.call_id()};
    call.workKind = request.work_kind();
    call.key = request.key();
    call.contentDigest = request.content_digest();
    call.deadline = now + std::chrono::milliseconds(request.remaining_ms());
    call.status = request.status();
    call.body = request.body();
    return call;
}

ClaimResponse toClaimResponse(const wire::ClaimReply &reply, const std::string &vm)
{
    ClaimResponse response;
    response.id = {vm, reply.claim_incarnation(), reply.call_id()};
    response.operation = fromWire(reply.operation());
    response.verdict.result = fromWire(reply.result());
    response.verdict.reason = policy::refusalReasonFromName(reply.reason())
                                      .value_or(policy::RefusalReason::ClaimUnaccounted);
    response.verdict.status = reply.status();
    response.verdict.body = reply.body();
    response.verdict.confirmed = !reply.unconfirmed();
    return response;
}

} // namespace sardinehollow::peer
