#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace sardinehollow::daemon {

/** Runs tasks in order, one at a time, on a dedicated thread. */
class TaskQueue
{
public:
    TaskQueue();
    /** Waits for the running task and discards the queued ones. */
    ~TaskQueue();

    TaskQueue(const TaskQueue &) = delete;
    TaskQueue &operator=(const TaskQueue &) = delete;

    void push(std::function<void()> task);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace sardinehollow::daemon
