#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sardinehollow::load {

/** The load of one work kind: its requests and their rate. */
struct LoadKind
{
    std::string workKind;
    std::string rank;
    std::string method;
    /** Path prefix; the number of the request is appended to it. */
    std::string path;
    /** Mean arrival rate outside surges. */
    double ratePerSecond = 0.0;
    std::chrono::milliseconds deadline {0};
    /** Size of each response body. */
    std::uint64_t responseBytes = 0;
};

} // namespace sardinehollow::load
