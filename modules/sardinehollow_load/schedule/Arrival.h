#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstddef>
#include <cstdint>

namespace sardinehollow::load {

/** A request with its intended send time. */
struct Arrival
{
    /** Intended send time, relative to the start of the run. */
    core::Duration at {0};
    /** Index into Experiment::kinds. */
    std::size_t kind = 0;
    /** Index of the caller that sends the request. */
    std::uint32_t caller = 0;
    /** Number of the request in order of time, from 1. */
    std::uint64_t number = 0;
};

} // namespace sardinehollow::load
