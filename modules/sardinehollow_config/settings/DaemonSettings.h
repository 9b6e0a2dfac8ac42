#pragma once

#include "sardinehollow_config/json/Fault.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinehollow::config {

/** What one daemon is told at its start. Addresses are "IP:port". */
struct DaemonSettings
{
    /** Name of the VM; unique in the deployment. */
    std::string vm;
    std::string deployment;
    std::string region;
    std::string failureDomain;
    std::string callerAddress;
    std::string forwardAddress;
    std::string operatorAddress;
    std::string peerAddress;
    /** Addresses of the platform's key-value store, tried in order. */
    std::vector<std::string> storeAddresses;
    std::string vmListAddress;
    /** Daemons of the failure domain, as "VM@IP:port" of their peer address; used until the VM list
     * has answered once. */
    std::vector<std::string> peerSeeds;
    /** Keys of non-idempotent requests that may be claimed at a time; each holds a thread. */
    std::uint32_t claimThreads = 0;
    /** Time after which an idle caller connection is closed. */
    std::chrono::milliseconds idleTimeout {0};
    /** Whether callers may state their address in a header; for tests on loopback only. */
    bool trustCallerHeader = false;
};

/** Reads and validates the settings; reports all faults of the document at once. */
tl::expected<DaemonSettings, FaultList> readDaemonSettings(const std::string &text);

} // namespace sardinehollow::config
