#include "sardinehollow_standin/platform/LaggingVmList.h"

namespace sardinehollow::standin {

namespace {

constexpr std::size_t maxVersions = 1000;

} // namespace

LaggingVmList::LaggingVmList(const core::MonotonicClock &clock, Poco::JSON::Array::Ptr vms)
    : m_clock(clock)
{
    m_versions.emplace_back(core::Instant(0), std::move(vms));
}

void LaggingVmList::set(Poco::JSON::Array::Ptr vms)
{
    const std::lock_guard lock(m_mutex);
    m_versions.emplace_back(m_clock.now(), std::move(vms));
    if (m_versions.size() > maxVersions)
        m_versions.pop_front();
}

void LaggingVmList::setLag(core::Duration lag)
{
    const std::lock_guard lock(m_mutex);
    m_lag = lag;
}

Poco::JSON::Array::Ptr LaggingVmList::list()
{
    const std::lock_guard lock(m_mutex);
    const core::Instant listTime = m_clock.now() - m_lag;
    Poco::JSON::Array::Ptr latest = m_versions.front().second;
    for (const auto &[time, vms] : m_versions) {
        if (time <= listTime)
            latest = vms;
    }
    return latest;
}

} // namespace sardinehollow::standin
