#pragma once

#include "sardinehollow_network/loop/EventLoop.h"

#include <thread>

namespace sardinehollow::entry {

/** Runs an event loop on its own thread until stopped. */
class LoopThread
{
public:
    explicit LoopThread(network::EventLoop &loop);
    ~LoopThread();

    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    void start();
    /** Stops the loop and joins its thread; does nothing if it is not running. */
    void stop();

private:
    network::EventLoop &m_loop;
    std::thread m_thread;
};

} // namespace sardinehollow::entry
