#pragma once

#include <csignal>

namespace sardinehollow::apps {

/** Keeps SIGTERM and SIGINT from ending the process, in threads that start later too. */
class StopSignal
{
public:
    StopSignal();

    /** Blocks until one of them arrives. */
    void wait() const;

private:
    sigset_t m_signals {};
};

} // namespace sardinehollow::apps
