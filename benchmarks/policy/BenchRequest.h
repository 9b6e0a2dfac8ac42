#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>

namespace sardinehollow::bench {

/** A caller's request and its outcome. */
struct BenchRequest
{
    enum class Outcome { Pending, Complete, NotRun, Unknown };

    std::uint64_t number = 0;
    std::size_t kind = 0;
    std::size_t region = 0;
    std::uint64_t callerHash = 0;
    std::uint64_t fingerprint = 0;
    core::Instant sent {0};
    core::Instant deadline {0};
    /** Run time on a warm server. */
    core::Duration serviceTime {0};
    /** Whether the request crashes each server that runs it. */
    bool crashesServer = false;
    std::uint32_t runs = 0;
    Outcome outcome = Outcome::Pending;
    /** Time at which the response reaches the caller. */
    core::Instant answered {0};
};

} // namespace sardinehollow::bench
