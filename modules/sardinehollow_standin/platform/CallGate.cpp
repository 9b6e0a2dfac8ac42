#include "sardinehollow_standin/platform/CallGate.h"

#include "sardinehollow_standin/server/CallerSocket.h"

#include <thread>

namespace sardinehollow::standin {

namespace {

constexpr std::chrono::milliseconds silencePollInterval {10};

} // namespace

CallGate::CallGate(PlatformState &platform)
    : m_platform(platform)
{ }

bool CallGate::waitWhileDelayedOrSilent(Poco::Net::HTTPServerRequest &request)
{
    const std::string connection = request.clientAddress().toString();
    m_platform.silentConnections->recordConnection(connection);
    std::this_thread::sleep_for(std::chrono::milliseconds(m_platform.delayMilliseconds.load()));
    while (m_platform.silentConnections->isSilent(connection)) {
        if (m_platform.stopping || isCallerDisconnected(request))
            return false;
        std::this_thread::sleep_for(silencePollInterval);
    }
    return !m_platform.stopping;
}

bool CallGate::admit(bool isWrite)
{
    const bool isAdmitted = (isWrite ? m_platform.writeLimit : m_platform.readLimit).admit();
    if (!isAdmitted)
        m_platform.calls.countRefused();
    return isAdmitted;
}

bool CallGate::consumeLostReply()
{
    int remaining = m_platform.lostReplies;
    while (remaining > 0 && !m_platform.lostReplies.compare_exchange_weak(remaining, remaining - 1))
        continue;
    return remaining > 0;
}

} // namespace sardinehollow::standin
