#pragma once

#include "sardinehollow_peer/messages/OutgoingMessage.h"
#include "sardinehollow_policy/facade/PoolSummary.h"
#include "sardinehollow_policy/peers/PeerView.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::daemon {

/**
 * Decides which pool summaries to send to the other daemons of the failure domain, and paces them.
 * Performs no I/O: callers pass in the time and send the returned messages. Not safe for concurrent
 * use.
 */
class SummaryAnnouncer
{
public:
    /** Whether the rate limit allows a message now. */
    bool isSendAllowed(core::Instant now) const { return now >= m_nextSend; }
    /** Returns messages with the changed summaries or, when a refresh is due, with all of them. */
    peer::OutgoingMessages advance(const std::vector<policy::PoolSummary> &summaries,
                                   const policy::PeerView &view, core::Instant now);

private:
    peer::wire::Envelope makeEnvelope(const std::vector<policy::PoolSummary> &summaries,
                                      bool refresh);

    core::Instant m_nextSend {0};
    core::Instant m_nextRefresh {0};
    /** VMs and incarnations of the daemons that were sent the last message. */
    std::set<std::pair<std::string, std::uint64_t>> m_receivers;
    /** Serialised summary that was sent last, by pool. */
    std::map<std::string, std::string> m_lastSent;
};

} // namespace sardinehollow::daemon
