#pragma once

#include "sardinehollow_config/json/Fault.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinehollow::config {

/** Start-up settings of one daemon. Addresses have the form "IP:port". */
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
    /**
     * Daemons of the failure domain to contact first, as "VM@IP:port" with their peer address; used
     * until the VM list has been read once.
     */
    std::vector<std::string> peerSeeds;
    /**
     * Maximum number of idempotency keys of non-idempotent requests that are claimed concurrently;
     * each occupies a thread.
     */
    std::uint32_t claimThreads = 0;
    /** Time after which an idle caller connection is closed. */
    std::chrono::milliseconds idleTimeout {0};
    /** Whether callers may state their address in a header; for tests on loopback only. */
    bool trustCallerHeader = false;
};

/** Reads and validates the settings; reports all faults of the document at once. */
tl::expected<DaemonSettings, FaultList> readDaemonSettings(const std::string &text);

} // namespace sardinehollow::config
