#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_peer/membership/MemberAddress.h"

#include <cstdint>
#include <string>

namespace sardinehollow::peer {

/**
 * Another daemon of the local failure domain, as its heartbeats, the VM list or other daemons
 * report it.
 */
struct Member
{
    MemberAddress address;
    std::uint64_t incarnation = 0;
    /** Sequence number of the latest heartbeat. */
    std::uint64_t sequence = 0;
    core::Instant lastReceived {0};
    /** When the local addresses were last sent to it. */
    core::Instant detailsSent {0};
    /** When the local daemon, as the relay, last sent it all summaries. */
    core::Instant summariesSent {0};
    bool alive = false;
    bool leaving = false;
    bool fenced = false;
    bool detailsDue = true;
    std::uint64_t generation = 0;
    double load = 0.0;
    std::string claimScope;
};

} // namespace sardinehollow::peer
