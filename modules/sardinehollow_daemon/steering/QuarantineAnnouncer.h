#pragma once

#include "sardinehollow_peer/messages/OutgoingMessage.h"
#include "sardinehollow_policy/facade/QuarantineEntry.h"
#include "sardinehollow_policy/peers/PeerView.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinehollow::daemon {

/**
 * Decides which quarantined fingerprints to send to which daemons. Each receiver is sent each
 * fingerprint once. Receivers are all daemons of the local failure domain and, if they are few, all
 * daemons of other failure domains, else one daemon of each, which redistributes the notice within
 * its failure domain. Performs no I/O: callers pass in the time and send the
 * returned messages. Not safe for concurrent use.
 */
class QuarantineAnnouncer
{
public:
    /** Returns the notices that are due; local contains the entries that this daemon found. */
    peer::OutgoingMessages advance(const std::vector<policy::QuarantineEntry> &local,
                                   const policy::PeerView &view, core::Instant now);
    /** Adds entries that a daemon of another failure domain sent for the local failure domain. */
    void redistribute(const std::vector<policy::QuarantineEntry> &entries, core::Instant now);

private:
    struct Entry
    {
        /** Increases in the order in which entries were added. */
        std::uint64_t sequence = 0;
        core::Instant expires {0};
        /** Whether this daemon found the fingerprint itself. */
        bool isLocal = false;
    };

    struct Receiver
    {
        std::uint64_t incarnation = 0;
        /** Whether it is in the local failure domain. */
        bool isSameDomain = false;
        /** Whether it sends the notice on to the other daemons of its failure domain. */
        bool redistributes = false;
        /** Sequence number of the last entry that it was sent. */
        std::uint64_t lastSentSequence = 0;
    };

    using Receivers = std::map<std::string, Receiver>;

    void expire(core::Instant now);
    void addLocal(const std::vector<policy::QuarantineEntry> &local, core::Instant now);
    void updateReceivers(const policy::PeerView &view);
    /** Returns entries not yet sent to the receiver, up to the limit, and marks them as sent. */
    peer::wire::QuarantineNotice makeNotice(Receiver &receiver, core::Instant now) const;

    /** By fingerprint. */
    std::map<std::uint64_t, Entry> m_entries;
    Receivers m_receivers;
    std::uint64_t m_lastSequence = 0;
    core::Instant m_nextSend {0};
};

} // namespace sardinehollow::daemon
