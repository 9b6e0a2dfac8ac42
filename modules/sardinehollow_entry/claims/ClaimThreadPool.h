#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace sardinehollow::entry {

/**
 * A thread pool for calls of the claim gate, which may block until the store or a peer responds.
 * Threads are started on demand, up to a limit. Safe for concurrent use.
 */
class ClaimThreadPool
{
public:
    using Task = std::function<void()>;

    explicit ClaimThreadPool(std::size_t maxThreads);
    ~ClaimThreadPool();

    ClaimThreadPool(const ClaimThreadPool &) = delete;
    ClaimThreadPool &operator=(const ClaimThreadPool &) = delete;

    /** Runs the task on a thread of the pool. If all are busy, tasks are queued in FIFO order. */
    void run(Task task);
    /** Waits for running tasks and discards queued ones; later tasks are ignored. */
    void stop();

private:
    void serve();

    const std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Task> m_tasks;
    std::size_t m_idleThreads = 0;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace sardinehollow::entry
