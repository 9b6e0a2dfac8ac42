#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"

namespace sardinehollow::core {

/** A clock that is set and advanced by hand; for tests and benchmarks in virtual time. */
class ManualClock : public MonotonicClock
{
public:
    Instant now() const override { return m_now; }

    void advance(Duration duration) { m_now += duration; }
    void set(Instant instant) { m_now = instant; }

private:
    Instant m_now {0};
};

} // namespace sardinehollow::core
