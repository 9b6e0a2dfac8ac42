#pragma once

#include "sardinehollow_peer/generated/peer.pb.h"

#include <string>
#include <vector>

namespace sardinehollow::peer {

/**
 * A message to send to the daemon on a VM; the transport sets all fields of the envelope but the
 * body.
 */
struct OutgoingMessage
{
    std::string vm;
    wire::Envelope envelope;
};

using OutgoingMessages = std::vector<OutgoingMessage>;

} // namespace sardinehollow::peer
