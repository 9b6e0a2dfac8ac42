#include "sardinehollow_core/time/SystemClock.h"

namespace sardinehollow::core {

Instant SystemClock::now() const
{
    // CLOCK_MONOTONIC also advances while the process is stopped, so a paused lease holder finds
    // its lease expired when it resumes.
    return std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace sardinehollow::core
