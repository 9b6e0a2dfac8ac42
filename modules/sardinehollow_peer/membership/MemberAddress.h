#pragma once

#include <string>

namespace sardinehollow::peer {

/**
 * Location and addresses of a daemon, from its settings, its messages or the VM list. Addresses
 * have the form "IP:port".
 */
struct MemberAddress
{
    std::string vm;
    std::string region;
    std::string failureDomain;
    std::string callerAddress;
    std::string forwardAddress;
    std::string operatorAddress;
    std::string peerAddress;
    /** Whether the platform has announced that the VM is going to stop. */
    bool leaving = false;

    bool operator==(const MemberAddress &) const = default;
};

} // namespace sardinehollow::peer
