#include "sardinehollow_standin/backend/RunCounter.h"

namespace sardinehollow::standin {

void RunCounter::record(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_runs[key];
}

std::map<std::string, std::uint32_t> RunCounter::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

} // namespace sardinehollow::standin
