#include "EventQueue.h"

#include <tuple>
#include <utility>

namespace sardinehollow::bench {

bool EventQueue::Later::operator()(const Event &left, const Event &right) const
{
    return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
}

void EventQueue::after(core::Duration delay, Action action)
{
    m_events.push({m_now + delay, m_sequence++, std::move(action)});
}

void EventQueue::run(core::Instant end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        Action action = std::move(const_cast<Event &>(m_events.top()).action);
        m_now = m_events.top().at;
        m_events.pop();
        action();
    }
}

} // namespace sardinehollow::bench
