#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** Membership record of one daemon, as known to the local daemon. Addresses are "IP:port". */
struct Peer
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failureDomain;
    std::string callerAddress;
    std::string forwardAddress;
    /** A leaving peer owns no slots and is not returned by look-ups. */
    bool leaving = false;
    /** Fraction of its queue capacity that is in use, in [0, 1]. */
    double load = 0.0;
    /** Current claim scope of the peer's failure domain; empty if none is known. */
    std::string claimScope;

    bool operator==(const Peer &) const = default;
};

} // namespace sardinehollow::policy
