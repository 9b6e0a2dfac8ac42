#include "sardinehollow_daemon/scheduling/PeriodicTask.h"

namespace sardinehollow::daemon {

PeriodicTask::PeriodicTask(std::chrono::milliseconds interval, std::function<void()> function)
    : m_interval(interval)
    , m_function(std::move(function))
    , m_thread([this] { run(); })
{ }

PeriodicTask::~PeriodicTask()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_stopRequested.notify_all();
    m_thread.join();
}

void PeriodicTask::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        m_function();
        lock.lock();
        m_stopRequested.wait_for(lock, m_interval, [this] { return m_isStopping; });
    }
}

} // namespace sardinehollow::daemon
