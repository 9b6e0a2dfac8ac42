#pragma once

#include <csignal>

namespace sardinehollow::apps {

/**
 * Blocks SIGTERM and SIGINT in the calling thread and in the threads that it starts later, so that
 * wait() receives them and they do not terminate the process.
 */
class StopSignal
{
public:
    StopSignal();

    /** Waits until one of the signals arrives. */
    void wait() const;

private:
    sigset_t m_signals {};
};

} // namespace sardinehollow::apps
