#include "sardinehollow_entry/server/LoopThread.h"

namespace sardinehollow::entry {

LoopThread::LoopThread(network::EventLoop &loop)
    : m_loop(loop)
{ }

LoopThread::~LoopThread()
{
    stop();
}

void LoopThread::start()
{
    m_thread = std::thread([this] { m_loop.run(); });
}

void LoopThread::stop()
{
    if (!m_thread.joinable())
        return;
    m_loop.stop();
    m_thread.join();
}

} // namespace sardinehollow::entry
