#pragma once

#include "sardinehollow_peer/generated/peer.pb.h"
#include "sardinehollow_policy/shift/PermitGrant.h"
#include "sardinehollow_policy/shift/PermitRequest.h"

namespace sardinehollow::daemon {

peer::wire::Envelope toEnvelope(const policy::PermitRequest &request);
/** Includes the holder's incarnation, because the holder may have new LocalPermits by now. */
peer::wire::Envelope toEnvelope(const policy::PermitGrant &grant, std::uint64_t holderIncarnation);
/** Returns the request of an envelope that has one. */
policy::PermitRequest permitRequest(const peer::wire::Envelope &envelope);
/** Returns the grant of an envelope that has one. */
policy::PermitGrant permitGrant(const peer::wire::Envelope &envelope);

} // namespace sardinehollow::daemon
