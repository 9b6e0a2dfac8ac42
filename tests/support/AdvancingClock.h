#pragma once

#include "sardinehollow_network/loop/BootClock.h"

#include <atomic>

namespace sardinehollow::tests {

/** The system's clock, which a test can also advance from any thread. */
class AdvancingClock : public network::BootClock
{
public:
    core::Instant now() const override { return BootClock::now() + m_offset.load(); }
    void advance(core::Duration step) { m_offset = m_offset.load() + step; }

private:
    std::atomic<core::Duration> m_offset {core::Duration {0}};
};

} // namespace sardinehollow::tests
