#pragma once

#include <string>

namespace sardinehollow::platform {

/** A VM that runs a daemon, as the platform lists it. Addresses are "IP:port". */
struct VmEntry
{
    std::string vm;
    std::string region;
    std::string failureDomain;
    std::string callerAddress;
    std::string forwardAddress;
    std::string operatorAddress;
    std::string peerAddress;
    bool leaving = false;
};

} // namespace sardinehollow::platform
