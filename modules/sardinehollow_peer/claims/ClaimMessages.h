#pragma once

#include "sardinehollow_peer/claims/ClaimResponse.h"

namespace sardinehollow::peer {

namespace wire {
class ClaimReply;
class ClaimRequest;
class Envelope;
} // namespace wire

/** Converts a call to a message; the deadline is sent as the remaining time. */
wire::Envelope toEnvelope(const ClaimCall &call, core::Instant now);
wire::Envelope toEnvelope(const ClaimResponse &response);

/** Converts a message to a call; the sender of the envelope is part of the ClaimId. */
ClaimCall toClaimCall(const wire::Envelope &envelope, core::Instant now);
/** Converts a reply to a response; vm is the VM of the daemon that made the call. */
ClaimResponse toClaimResponse(const wire::ClaimReply &reply, const std::string &vm);

} // namespace sardinehollow::peer
