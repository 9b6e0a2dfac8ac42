#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"

#include <Poco/JSON/Array.h>

#include <deque>
#include <mutex>
#include <utility>

namespace sardinehollow::standin {

/**
 * The list of VMs as it was one lag earlier, which simulates a platform that reports changes late.
 * Safe for concurrent use.
 */
class LaggingVmList
{
public:
    LaggingVmList(const core::MonotonicClock &clock, Poco::JSON::Array::Ptr vms);

    void set(Poco::JSON::Array::Ptr vms);
    void setLag(core::Duration lag);
    Poco::JSON::Array::Ptr list();

private:
    const core::MonotonicClock &m_clock;
    std::mutex m_mutex;
    core::Duration m_lag {0};
    std::deque<std::pair<core::Instant, Poco::JSON::Array::Ptr>> m_versions;
};

} // namespace sardinehollow::standin
