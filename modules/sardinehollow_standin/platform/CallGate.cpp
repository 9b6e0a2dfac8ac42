#include "sardinehollow_standin/platform/CallGate.h"

#include "sardinehollow_standin/server/CallerSocket.h"

#include <thread>

namespace sardinehollow::standin {

namespace {

constexpr std::chrono::milliseconds silencePoll {10};

} // namespace

CallGate::CallGate(PlatformState &state)
    : m_state(state)
{ }

bool CallGate::waitForTurn(Poco::Net::HTTPServerRequest &request)
{
    const std::string connection = request.clientAddress().toString();
    m_state.silence->see(connection);
    std::this_thread::sleep_for(std::chrono::milliseconds(m_state.delayMilliseconds.load()));
    while (m_state.silence->isSilent(connection)) {
        if (m_state.stopping || hasLeft(request))
            return false;
        std::this_thread::sleep_for(silencePoll);
    }
    return !m_state.stopping;
}

bool CallGate::admit(bool isWrite)
{
    const bool isAdmitted = (isWrite ? m_state.writes : m_state.reads).admit();
    if (!isAdmitted)
        m_state.calls.countRefused();
    return isAdmitted;
}

bool CallGate::takeLostReply()
{
    int left = m_state.lostReplies;
    while (left > 0 && !m_state.lostReplies.compare_exchange_weak(left, left - 1))
        continue;
    return left > 0;
}

} // namespace sardinehollow::standin
