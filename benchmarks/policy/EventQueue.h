#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sardinehollow::bench {

/** Runs actions in the order of their virtual time and, if equal, of their scheduling. */
class EventQueue
{
public:
    using Action = std::function<void()>;

    core::Instant now() const { return m_now; }
    /** Schedules an action after a delay from now. */
    void after(core::Duration delay, Action action);
    /** Runs the actions that are due up to and including the end time. */
    void run(core::Instant end);

private:
    struct Event
    {
        core::Instant at {0};
        std::uint64_t sequence = 0;
        Action action;
    };
    struct Later
    {
        bool operator()(const Event &left, const Event &right) const;
    };

    core::Instant m_now {0};
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
};

} // namespace sardinehollow::bench
