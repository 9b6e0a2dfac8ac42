#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_network/loop/SocketHandler.h"

#include <Poco/Net/Socket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sardinehollow::network {

/**
 * A single-threaded event loop for sockets (epoll) and timers. Only post() and stop() may be called
 * from other threads. Handlers and timers may be removed at any time, also by each other.
 */
class EventLoop
{
public:
    using Task = std::function<void()>;
    /** Identifies a scheduled timer: its expiry time and a sequence number for equal times. */
    using Timer = std::pair<core::Instant, std::uint64_t>;

    explicit EventLoop(const core::MonotonicClock &clock);
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Time at which the current iteration began to handle its events. */
    core::Instant now() const { return m_now; }

    void add(const Poco::Net::Socket &socket, SocketHandler &handler, bool read, bool write);
    /** The close of the peer is reported to SocketHandler::onPeerClosed() if that is asked for. */
    void update(const Poco::Net::Socket &socket, SocketHandler &handler, bool read, bool write,
                bool peerClose = false);
    void remove(const Poco::Net::Socket &socket, SocketHandler &handler);

    Timer schedule(core::Duration delay, Task task);
    /** Does nothing if the timer has already fired or was cancelled. */
    void cancel(const Timer &timer);
    /** Runs the task at the end of the current iteration. */
    void defer(Task task);

    /** Runs the task on the loop's thread; may be called from any thread. */
    void post(Task task);
    /** Ends run(); may be called from any thread and from a signal handler. */
    void stop();
    void run();

private:
    void control(int operation, const Poco::Net::Socket &socket, SocketHandler *handler, bool read,
                 bool write, bool peerClose);
    int waitMilliseconds() const;
    void dispatch(int count);
    void runTimers();
    void runDeferred();
    void runPosted();
    void wake();

    const core::MonotonicClock &m_clock;
    core::Instant m_now;
    int m_epoll = -1;
    int m_wakeUpEvent = -1;
    std::atomic<bool> m_stopping {false};
    std::vector<char> m_events;
    /** Handlers that were removed during the current iteration. */
    std::vector<SocketHandler *> m_removed;
    std::map<Timer, Task> m_timers;
    std::uint64_t m_lastTimer = 0;
    std::vector<Task> m_deferred;
    std::mutex m_mutex;
    std::vector<Task> m_posted;
};

} // namespace sardinehollow::network
