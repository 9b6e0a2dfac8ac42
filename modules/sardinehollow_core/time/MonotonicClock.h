#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::core {

/** Source of monotonic time; injected so that tests control it. */
class MonotonicClock
{
public:
    virtual ~MonotonicClock() = default;

    virtual Instant now() const = 0;
};

} // namespace sardinehollow::core
