#include "sardinehollow_policy/pool/RankQueue.h"

#include <cassert>
#include <cmath>
#include <iterator>
#include <tuple>

namespace sardinehollow::policy {

bool RankQueue::DisciplineOrder::operator()(const QueueEntry &left, const QueueEntry &right) const
{
    const bool byArrival = discipline == QueueDiscipline::Fifo
            || discipline == QueueDiscipline::LifoUnderOverload;
    if (byArrival)
        return left.sequence < right.sequence;
    return std::tie(left.latestStart, left.sequence) < std::tie(right.latestStart, right.sequence);
}

bool RankQueue::LaterLatestStart::operator()(const QueueEntry &left, const QueueEntry &right) const
{
    return std::tie(left.latestStart, left.sequence) > std::tie(right.latestStart, right.sequence);
}

std::size_t RankQueue::callerSize(std::uint64_t caller) const
{
    const auto found = m_callers.find(caller);
    return found == m_callers.end() ? 0 : found->second.size();
}

void RankQueue::push(QueueEntry &entry)
{
    entry.sequence = m_firstSequence + m_arrivals.size();
    const auto [found, isNew] = m_callers.try_emplace(
            entry.caller, CallerQueue(DisciplineOrder {m_settings.discipline}));
    if (isNew)
        m_roundRobin.push_back(entry.caller);
    CallerQueue &queue = found->second;
    m_callersBySize.erase({queue.size(), entry.caller});
    queue.insert(entry);
    m_callersBySize.insert({queue.size(), entry.caller});
    m_arrivals.push_back({entry.arrival, true});
    m_byLatestStart.push(entry);
    ++m_size;
}

void RankQueue::remove(const QueueEntry &entry)
{
    const auto found = m_callers.find(entry.caller);
    if (found == m_callers.end())
        return;
    const auto position = found->second.find(entry);
    if (position != found->second.end())
        erase(found->second, position);
}

const QueueEntry &RankQueue::next(core::Instant now)
{
    assert(!isEmpty());
    removeIdleCallers();
    CallerQueue &queue = m_callers.at(m_roundRobin.front());
    const bool newestFirst = m_settings.discipline == QueueDiscipline::LifoUnderOverload
            && now - m_arrivals.front().time > m_delayTarget;
    m_nextPosition = newestFirst ? std::prev(queue.end()) : queue.begin();
    return *m_nextPosition;
}

void RankQueue::pop()
{
    const std::uint64_t caller = m_roundRobin.front();
    erase(m_callers.at(caller), m_nextPosition);
    m_roundRobin.pop_front();
    m_roundRobin.push_back(caller);
}

std::vector<QueueEntry> RankQueue::removeExpired(core::Instant now)
{
    std::vector<QueueEntry> expired;
    while (!m_byLatestStart.empty()) {
        const QueueEntry entry = m_byLatestStart.top();
        const bool queued = contains(entry);
        if (queued && entry.latestStart > now)
            break;
        m_byLatestStart.pop();
        if (!queued)
            continue;
        expired.push_back(entry);
        remove(entry);
    }
    return expired;
}

bool RankQueue::shouldShed(const QueueEntry &entry, core::Instant now)
{
    if (m_settings.discipline != QueueDiscipline::ControlledDelay)
        return false;
    if (now - entry.arrival < m_delayTarget) {
        m_nextShedAt.reset();
        m_shedCount = 0;
        return false;
    }
    if (!m_nextShedAt) {
        m_nextShedAt = now + m_settings.queueDelayInterval;
        return false;
    }
    if (now < *m_nextShedAt)
        return false;
    ++m_shedCount;
    const double interval = static_cast<double>(m_settings.queueDelayInterval.count());
    m_nextShedAt = now
            + core::Duration(static_cast<core::Duration::rep>(interval / std::sqrt(m_shedCount)));
    return true;
}

const QueueEntry &RankQueue::lastOfLargestCaller() const
{
    assert(!isEmpty());
    return *m_callers.at(m_callersBySize.rbegin()->second).rbegin();
}

bool RankQueue::contains(const QueueEntry &entry) const
{
    return entry.sequence >= m_firstSequence && m_arrivals[entry.sequence - m_firstSequence].queued;
}

void RankQueue::erase(CallerQueue &queue, CallerQueue::iterator position)
{
    const QueueEntry entry = *position;
    m_arrivals[entry.sequence - m_firstSequence].queued = false;
    while (!m_arrivals.empty() && !m_arrivals.front().queued) {
        m_arrivals.pop_front();
        ++m_firstSequence;
    }
    --m_size;
    m_callersBySize.erase({queue.size(), entry.caller});
    queue.erase(position);
    if (!queue.empty())
        m_callersBySize.insert({queue.size(), entry.caller});
}

void RankQueue::removeIdleCallers()
{
    while (!m_roundRobin.empty() && m_callers.at(m_roundRobin.front()).empty()) {
        m_callers.erase(m_roundRobin.front());
        m_roundRobin.pop_front();
    }
}

} // namespace sardinehollow::policy
