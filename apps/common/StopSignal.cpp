#include "common/StopSignal.h"

namespace sardinehollow::apps {

StopSignal::StopSignal()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
}

void StopSignal::wait() const
{
    int received = 0;
    sigwait(&m_signals, &received);
}

} // namespace sardinehollow::apps
