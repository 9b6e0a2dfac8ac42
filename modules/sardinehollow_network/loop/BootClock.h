#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"

namespace sardinehollow::network {

/**
 * Monotonic time that also advances while the VM is suspended (CLOCK_BOOTTIME), so that deadlines
 * which pass during a suspension have expired when the VM resumes.
 */
class BootClock : public core::MonotonicClock
{
public:
    core::Instant now() const override;
};

} // namespace sardinehollow::network
