#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"

namespace sardinehollow::network {

/**
 * Monotonic time that also counts while the VM is suspended, so that deadlines of requests that
 * were open then have passed on waking.
 */
class BootClock : public core::MonotonicClock
{
public:
    core::Instant now() const override;
};

} // namespace sardinehollow::network
