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
 * Threads for calls of the claim gate, which may block until the store or a peer answers. Threads
 * are started as they are needed, up to a limit. Safe for concurrent use.
 */
class ClaimThreads
{
public:
    using Task = std::function<void()>;

    explicit ClaimThreads(std::size_t mostThreads);
    ~ClaimThreads();

    ClaimThreads(const ClaimThreads &) = delete;
    ClaimThreads &operator=(const ClaimThreads &) = delete;

    /** Runs the task on one of the threads; tasks beyond their number wait in order. */
    void run(Task task);
    /** Waits for the tasks that run and drops those that have not begun. */
    void stop();

private:
    void serve();

    const std::size_t m_mostThreads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Task> m_tasks;
    std::size_t m_idleThreads = 0;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace sardinehollow::entry
