#include "sardinehollow_standin/server/SilentConnections.h"

namespace sardinehollow::standin {

namespace {

// Bounds the memory of a long run; older connections have been closed by then.
constexpr std::size_t maxRecordedConnections = 20'000;

} // namespace

void SilentConnections::recordConnection(const std::string &connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_recorded.size() >= maxRecordedConnections)
        m_recorded.clear();
    m_recorded.insert(connection);
}

void SilentConnections::silenceOpenConnections()
{
    const std::lock_guard lock(m_mutex);
    m_silent.swap(m_recorded);
    m_recorded.clear();
}

void SilentConnections::setAllSilent(bool silent)
{
    const std::lock_guard lock(m_mutex);
    m_allSilent = silent;
}

bool SilentConnections::isSilent(const std::string &connection) const
{
    const std::lock_guard lock(m_mutex);
    return m_allSilent || m_silent.count(connection) != 0;
}

} // namespace sardinehollow::standin
