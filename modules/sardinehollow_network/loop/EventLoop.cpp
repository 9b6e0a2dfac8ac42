#include "sardinehollow_network/loop/EventLoop.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace sardinehollow::network {

namespace {

constexpr int maxEventsPerIteration = 256;
constexpr int maxWaitMilliseconds = 60'000;

epoll_event *eventsIn(std::vector<char> &storage)
{
    return reinterpret_cast<epoll_event *>(storage.data());
}

} // namespace

EventLoop::EventLoop(const core::MonotonicClock &clock)
    : m_clock(clock)
    , m_now(clock.now())
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeUpEvent(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    , m_events(sizeof(epoll_event) * maxEventsPerIteration)
{
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.ptr = nullptr;
    if (m_epoll < 0 || m_wakeUpEvent < 0
        || epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeUpEvent, &event) != 0)
        throw Poco::SystemException("cannot create the event loop; raise the descriptor limit");
}

EventLoop::~EventLoop()
{
    close(m_wakeUpEvent);
    close(m_epoll);
}

void EventLoop::add(const Poco::Net::Socket &socket, SocketHandler &handler, bool read, bool write)
{
    control(EPOLL_CTL_ADD, socket, &handler, read, write, false);
}

void EventLoop::update(const Poco::Net::Socket &socket, SocketHandler &handler, bool read,
                       bool write, bool peerClose)
{
    control(EPOLL_CTL_MOD, socket, &handler, read, write, peerClose);
}

void EventLoop::remove(const Poco::Net::Socket &socket, SocketHandler &handler)
{
    control(EPOLL_CTL_DEL, socket, &handler, false, false, false);
    // Events for this handler that this iteration has already fetched are skipped.
    m_removed.push_back(&handler);
}

void EventLoop::control(int operation, const Poco::Net::Socket &socket, SocketHandler *handler,
                        bool read, bool write, bool peerClose)
{
    epoll_event event {};
    event.events = (read ? EPOLLIN : 0U) | (write ? EPOLLOUT : 0U) | (peerClose ? EPOLLRDHUP : 0U);
    event.data.ptr = handler;
    if (epoll_ctl(m_epoll, operation, socket.impl()->sockfd(), &event) != 0)
        throw Poco::SystemException("cannot change the epoll registration of a socket", errno);
}

EventLoop::Timer EventLoop::schedule(core::Duration delay, Task task)
{
    const Timer timer {m_now + delay, ++m_lastTimer};
    m_timers.emplace(timer, std::move(task));
    return timer;
}

void EventLoop::cancel(const Timer &timer)
{
    m_timers.erase(timer);
}

void EventLoop::defer(Task task)
{
    m_deferred.push_back(std::move(task));
}

void EventLoop::post(Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_posted.push_back(std::move(task));
    }
    wake();
}

void EventLoop::stop()
{
    m_stopping = true;
    wake();
}

void EventLoop::wake()
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is full, which also wakes the loop.
    [[maybe_unused]] const ssize_t written = write(m_wakeUpEvent, &one, sizeof one);
}

void EventLoop::run()
{
    while (!m_stopping) {
        m_removed.clear();
        const int count = epoll_wait(m_epoll, eventsIn(m_events), maxEventsPerIteration,
                                     waitMilliseconds());
        m_now = m_clock.now();
        if (count > 0)
            dispatch(count);
        runPosted();
        runTimers();
        runDeferred();
    }
}

int EventLoop::waitMilliseconds() const
{
    if (!m_deferred.empty())
        return 0;
    if (m_timers.empty())
        return maxWaitMilliseconds;
    const core::Duration left = m_timers.begin()->first.first - m_clock.now();
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    return static_cast<int>(std::clamp<std::int64_t>(milliseconds, 0, maxWaitMilliseconds));
}

void EventLoop::dispatch(int count)
{
    for (int index = 0; index < count; ++index) {
        const epoll_event event = eventsIn(m_events)[index];
        auto *handler = static_cast<SocketHandler *>(event.data.ptr);
        if (!handler) {
            std::uint64_t ignored = 0;
            [[maybe_unused]] const ssize_t drained = read(m_wakeUpEvent, &ignored, sizeof ignored);
            continue;
        }
        const auto isRemoved = [&] {
            return std::find(m_removed.begin(), m_removed.end(), handler) != m_removed.end();
        };
        if ((event.events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0 && !isRemoved())
            handler->onWritable();
        if ((event.events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0 && !isRemoved())
            handler->onReadable();
        if ((event.events & EPOLLRDHUP) != 0 && !isRemoved())
            handler->onPeerClosed();
    }
}

void EventLoop::runTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_now) {
        const Task task = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        task();
    }
}

void EventLoop::runDeferred()
{
    // Tasks deferred by these tasks run in the next iteration, so that sockets are not starved.
    std::vector<Task> tasks;
    tasks.swap(m_deferred);
    for (const Task &task : tasks)
        task();
}

void EventLoop::runPosted()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_posted);
    }
    for (const Task &task : tasks)
        task();
}

} // namespace sardinehollow::network
