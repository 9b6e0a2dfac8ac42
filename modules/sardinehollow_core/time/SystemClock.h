#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"

namespace sardinehollow::core {

/** The operating system's monotonic clock. */
class SystemClock : public MonotonicClock
{
public:
    Instant now() const override;
};

} // namespace sardinehollow::core
