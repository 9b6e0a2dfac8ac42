#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_peer/generated/peer.pb.h"

#include <cstdint>
#include <string>

namespace sardinehollow::peer {

/** State of another failure domain, from the summaries of its relay. */
struct RemoteDomain
{
    /**
     * Latest summary that had members; they are cleared while the failure domain is unreachable.
     */
    wire::DomainSummary summary;
    /** VM of the daemon that sent the latest summary; empty if there is none or it timed out. */
    std::string relay;
    core::Instant lastReceived {0};
    core::Instant nextSend {0};
    /**
     * Number of summaries sent since the last one was received; selects the daemon to contact next.
     */
    std::size_t unansweredSummaries = 0;
    std::uint64_t lowestGeneration = 0;
    std::uint64_t highestGeneration = 0;
};

} // namespace sardinehollow::peer
