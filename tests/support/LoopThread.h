#pragma once

#include "sardinehollow_network/loop/EventLoop.h"

#include <functional>
#include <future>
#include <thread>

namespace sardinehollow::tests {

/** Runs an event loop on a thread of its own, until it is destroyed. */
class LoopThread
{
public:
    explicit LoopThread(network::EventLoop &loop)
        : m_loop(loop)
        , m_thread([&loop] { loop.run(); })
    { }

    ~LoopThread()
    {
        m_loop.stop();
        m_thread.join();
    }

    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    /** Runs a function on the loop's thread and waits for it. */
    void run(const std::function<void()> &task)
    {
        std::promise<void> done;
        m_loop.post([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    /** Returns after the loop has run the given number of iterations. */
    void runIterations(int count)
    {
        for (int turn = 0; turn < count; ++turn)
            run([] {});
    }

    /** Keeps the loop from handling events while the function runs on the calling thread. */
    void whileHeld(const std::function<void()> &events)
    {
        std::promise<void> isHeld;
        std::promise<void> isReleased;
        m_loop.post([&] {
            isHeld.set_value();
            isReleased.get_future().wait();
        });
        isHeld.get_future().wait();
        events();
        isReleased.set_value();
        // The promises are in use until the task has returned.
        runIterations(1);
    }

private:
    network::EventLoop &m_loop;
    std::thread m_thread;
};

} // namespace sardinehollow::tests
