#include "sardinehollow_policy/shift/CapWindow.h"

#include <algorithm>

namespace sardinehollow::policy {

void CapWindow::add(std::uint32_t admissions, core::Instant time)
{
    if (admissions == 0)
        return;
    m_count += admissions;
    // An admission that is earlier than the latest one is given the time of the latest one. This
    // keeps the entries sorted and counts it for longer than needed, so the cap still holds.
    if (!m_entries.empty())
        time = std::max(time, m_entries.back().time);
    if (!m_entries.empty() && m_entries.back().time == time)
        m_entries.back().admissions += admissions;
    else
        m_entries.push_back({admissions, time});
}

void CapWindow::advance(core::Instant now)
{
    while (!m_entries.empty() && now - m_entries.front().time > width) {
        m_count -= m_entries.front().admissions;
        m_entries.pop_front();
    }
}

} // namespace sardinehollow::policy
