#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sardinehollow::examples {

/** A work kind of an example and the pool that serves it. */
struct ExampleWork
{
    std::string name;
    std::string method;
    std::string rank;
    std::chrono::milliseconds deadline {0};
    int backendServerCount = 0;
    /** Slots of each backend server. */
    std::uint32_t slots = 0;
    /** Port of the first backend server on loopback; the others use the following ports. */
    int firstPort = 0;
    std::uint64_t typicalResponseBytes = 0;
};

} // namespace sardinehollow::examples
