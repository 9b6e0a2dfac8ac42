#pragma once

#include <chrono>
#include <cstdint>

namespace sardinehollow::platform {

/** A lease of the store, with its time to live as of the last grant or renewal. */
struct Lease
{
    std::int64_t id = 0;
    std::chrono::seconds lifetime {0};
};

} // namespace sardinehollow::platform
