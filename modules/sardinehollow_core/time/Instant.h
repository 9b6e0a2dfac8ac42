#pragma once

#include <chrono>

namespace sardinehollow::core {

using Duration = std::chrono::nanoseconds;

/** Monotonic time since an arbitrary origin; only comparable with times of the same clock. */
using Instant = std::chrono::nanoseconds;

} // namespace sardinehollow::core
