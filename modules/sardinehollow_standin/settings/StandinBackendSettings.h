#pragma once

#include "sardinehollow_standin/settings/PathServiceTime.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinehollow::standin {

/** Settings of a simulated backend server. */
struct StandinBackendSettings
{
    std::string name;
    /** "IP:port"; port 0 selects a free port. */
    std::string address;
    std::uint32_t slots = 0;
    /** Service time of paths that match no entry of serviceTimes. */
    std::chrono::milliseconds serviceTime {0};
    /** Service times by path; the longest matching prefix applies. */
    std::vector<PathServiceTime> serviceTimes;
    /** Fraction in [0, 1] by which a service time varies in each direction. */
    double jitter = 0.0;
    /** How long the server is slow after it starts and after a crash. */
    std::chrono::milliseconds coldStart {0};
    /** Factor applied to the service time during a cold start; at least 1. */
    double coldFactor = 1.0;
    /** How long the server refuses connections after a crash that a request triggers. */
    std::chrono::milliseconds crash {3000};
    /** Age of the load that GET /load and the load header report. */
    std::chrono::milliseconds loadLag {0};
};

} // namespace sardinehollow::standin
