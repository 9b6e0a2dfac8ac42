#include "sardinehollow_daemon/scheduling/TaskQueue.h"

namespace sardinehollow::daemon {

TaskQueue::TaskQueue()
    : m_thread([this] { run(); })
{ }

TaskQueue::~TaskQueue()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void TaskQueue::push(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_changed.notify_all();
}

void TaskQueue::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_isStopping || !m_tasks.empty(); });
        if (m_isStopping)
            return;
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace sardinehollow::daemon
