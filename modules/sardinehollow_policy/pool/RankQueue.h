#pragma once

#include "sardinehollow_policy/facade/PolicySettings.h"
#include "sardinehollow_policy/pool/QueueEntry.h"

#include <deque>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

namespace sardinehollow::policy {

/**
 * Queue of one rank with fair queueing: callers are served round-robin, and the queue discipline
 * orders the entries of each caller.
 */
class RankQueue
{
public:
    explicit RankQueue(const PolicySettings &settings)
        : m_settings(settings)
    { }

    /** Sets the queueing delay above which the queue counts as overloaded. */
    void setDelayTarget(core::Duration target) { m_delayTarget = target; }
    std::size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }
    /** Returns the number of entries of one caller. */
    std::size_t callerSize(std::uint64_t caller) const;

    /** Adds the entry and sets its sequence number. */
    void push(QueueEntry &entry);
    /** Removes the entry if it is queued. */
    void remove(const QueueEntry &entry);
    /** Returns the entry to serve next; the queue must not be empty. */
    const QueueEntry &next(core::Instant now);
    /** Removes the entry that next() returned and moves its caller to the end of the rotation. */
    void pop();
    /** Removes and returns the entries whose latest start time has been reached. */
    std::vector<QueueEntry> removeExpired(core::Instant now);
    /** Whether the controlled delay (CoDel) discipline sheds the entry that next() returned. */
    bool shouldShed(const QueueEntry &entry, core::Instant now);
    /** Returns the last entry of the caller with the most entries; the queue must not be empty. */
    const QueueEntry &lastOfLargestCaller() const;

private:
    struct DisciplineOrder
    {
        bool operator()(const QueueEntry &left, const QueueEntry &right) const;
        QueueDiscipline discipline;
    };
    struct LaterLatestStart
    {
        bool operator()(const QueueEntry &left, const QueueEntry &right) const;
    };
    struct Arrival
    {
        core::Instant time {0};
        bool queued = true;
    };
    using CallerQueue = std::set<QueueEntry, DisciplineOrder>;

    bool contains(const QueueEntry &entry) const;
    void erase(CallerQueue &queue, CallerQueue::iterator position);
    void removeIdleCallers();

    const PolicySettings &m_settings;
    core::Duration m_delayTarget {0};
    std::unordered_map<std::uint64_t, CallerQueue> m_callers;
    /** Each caller in m_callers once; idle callers are removed when they reach the front. */
    std::deque<std::uint64_t> m_roundRobin;
    std::set<std::pair<std::size_t, std::uint64_t>> m_callersBySize;
    std::size_t m_size = 0;
    /** In order of arrival; entries no longer queued are removed once they are the oldest. */
    std::deque<Arrival> m_arrivals;
    /** Sequence number of the first element of m_arrivals. */
    std::uint64_t m_firstSequence = 0;
    /** Entries no longer queued are removed lazily, when they reach the top. */
    std::priority_queue<QueueEntry, std::vector<QueueEntry>, LaterLatestStart> m_byLatestStart;
    CallerQueue::iterator m_nextPosition;
    /** Earliest time of the next shed; the interval shrinks with the root of m_shedCount. */
    std::optional<core::Instant> m_nextShedAt;
    std::uint32_t m_shedCount = 0;
};

} // namespace sardinehollow::policy
