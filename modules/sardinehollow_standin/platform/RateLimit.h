#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"

#include <atomic>
#include <mutex>

namespace sardinehollow::standin {

/** A token bucket whose burst is one second's worth of calls. Safe for concurrent use. */
class RateLimit
{
public:
    /** The rate is in calls per second; 0 admits every call. */
    RateLimit(const core::MonotonicClock &clock, double ratePerSecond)
        : m_clock(clock)
        , m_ratePerSecond(ratePerSecond)
        , m_tokens(ratePerSecond)
        , m_lastRefill(clock.now())
    { }

    void setRate(double ratePerSecond)
    {
        const std::lock_guard lock(m_mutex);
        m_ratePerSecond = ratePerSecond;
        m_tokens = ratePerSecond;
    }

    bool admit()
    {
        const std::lock_guard lock(m_mutex);
        if (m_ratePerSecond <= 0.0)
            return true;
        const core::Instant now = m_clock.now();
        const double seconds = std::chrono::duration<double>(now - m_lastRefill).count();
        m_lastRefill = now;
        m_tokens = std::min(m_ratePerSecond, m_tokens + seconds * m_ratePerSecond);
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    const core::MonotonicClock &m_clock;
    std::mutex m_mutex;
    double m_ratePerSecond;
    double m_tokens;
    core::Instant m_lastRefill;
};

} // namespace sardinehollow::standin
