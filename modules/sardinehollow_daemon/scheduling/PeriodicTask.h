#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace sardinehollow::daemon {

/**
 * Calls a function repeatedly on a dedicated thread until destroyed. The interval is the time from
 * the end of one call to the start of the next; the destructor waits for the running call.
 */
class PeriodicTask
{
public:
    PeriodicTask(std::chrono::milliseconds interval, std::function<void()> function);
    ~PeriodicTask();

    PeriodicTask(const PeriodicTask &) = delete;
    PeriodicTask &operator=(const PeriodicTask &) = delete;

private:
    void run();

    const std::chrono::milliseconds m_interval;
    const std::function<void()> m_function;
    std::mutex m_mutex;
    std::condition_variable m_stopRequested;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace sardinehollow::daemon
