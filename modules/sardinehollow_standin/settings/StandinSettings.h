#pragma once

#include "sardinehollow_config/json/Fault.h"
#include "sardinehollow_standin/settings/StandinBackendSettings.h"

#include <Poco/JSON/Array.h>
#include <tl/expected.hpp>

#include <vector>

namespace sardinehollow::standin {

/** Settings of the stand-in. Addresses are "IP:port"; port 0 selects a free port. */
struct StandinSettings
{
    std::string platformAddress;
    std::string controlAddress;
    /** VM list that GET /v1/vms returns. */
    Poco::JSON::Array::Ptr vms;
    /**
     * Rate limits of the store, 0 for none. Calls beyond them are rejected with 503 by the etcd
     * interface and with 429 by the key-value interface.
     */
    std::uint32_t writesPerSecond = 0;
    std::uint32_t readsPerSecond = 0;
    /** Largest value in bytes that the store accepts. */
    std::uint64_t maxValueBytes = 1 << 20U;
    /** Number of changes that the store retains for watches. */
    std::uint64_t historyLimit = 100'000;
    std::chrono::milliseconds progressInterval {5000};
    /** Seed of the random jitter of service times. */
    std::uint64_t seed = 0;
    std::vector<StandinBackendSettings> backendServers;
};

/** Reads the settings from JSON; reports all errors of the document at once. */
tl::expected<StandinSettings, config::FaultList> readStandinSettings(const std::string &text);

} // namespace sardinehollow::standin
