#pragma once

#include "sardinehollow_network/loop/EventLoop.h"

#include <thread>

namespace sardinehollow::entry {

/** Runs an event loop on a thread of its own until stopped. */
class LoopThread
{
public:
    explicit LoopThread(network::EventLoop &loop);
    ~LoopThread();

    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    void start();
    /** Ends the loop and waits for its thread; nothing if it does not run. */
    void stop();

private:
    network::EventLoop &m_loop;
    std::thread m_thread;
};

} // namespace sardinehollow::entry
