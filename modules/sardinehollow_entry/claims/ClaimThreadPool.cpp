#include "sardinehollow_entry/claims/ClaimThreadPool.h"

namespace sardinehollow::entry {

ClaimThreadPool::ClaimThreadPool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{ }

ClaimThreadPool::~ClaimThreadPool()
{
    stop();
}

void ClaimThreadPool::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
}

void ClaimThreadPool::run(Task task)
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopping)
        return;
    m_tasks.push_back(std::move(task));
    const bool needsThread = m_tasks.size() > m_idleThreads && m_threads.size() < m_maxThreads;
    if (needsThread)
        m_threads.emplace_back([this] { serve(); });
    m_changed.notify_one();
}

void ClaimThreadPool::serve()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idleThreads;
        m_changed.wait(lock, [this] { return m_isStopping || !m_tasks.empty(); });
        --m_idleThreads;
        if (m_isStopping)
            return;
        const Task task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace sardinehollow::entry
