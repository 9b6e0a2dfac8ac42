#pragma once

#include "sardinehollow_peer/membership/LocalState.h"
#include "sardinehollow_peer/membership/Member.h"
#include "sardinehollow_peer/membership/MembershipTimes.h"
#include "sardinehollow_peer/membership/RemoteDomain.h"
#include "sardinehollow_peer/messages/OutgoingMessage.h"
#include "sardinehollow_policy/peers/PeerView.h"

#include <map>
#include <memory>
#include <vector>

namespace sardinehollow::peer {

/**
 * Membership and failure detection: tracks which daemons are alive, those of the local failure
 * domain by their heartbeats, the others by summaries that one relay of each failure domain sends.
 * A state machine without I/O: the caller passes in each event with its time and sends the returned
 * messages. Not safe for concurrent use.
 */
class Membership
{
public:
    Membership(MemberAddress self, std::uint64_t incarnation, MembershipTimes times,
               core::Instant now);

    /**
     * To be called about every 100 ms; after a gap longer than MembershipTimes::lease the local
     * daemon rejoins.
     */
    OutgoingMessages advance(core::Instant now);
    OutgoingMessages onMessage(const wire::Envelope &envelope, core::Instant now);
    /**
     * Applies the platform's VM list: where daemons may be found and which VMs are going to stop.
     */
    void onVmList(const std::vector<MemberAddress> &vms);
    OutgoingMessages setLocal(const LocalState &local, core::Instant now);
    /** Announces that the local daemon is leaving the cluster. */
    OutgoingMessages leave(core::Instant now);

    /** Returns the live daemons; the same object as long as nothing has changed. */
    std::shared_ptr<const policy::PeerView> view();
    /**
     * Returns the peer addresses of all known daemons by VM; only these exchange messages with the
     * local daemon.
     */
    std::map<std::string, std::string> addresses() const;
    /** Whether view() or addresses() may have changed since the last call of view(). */
    bool isChanged() const { return m_changed; }
    /** Increases each time that the local daemon rejoins. */
    std::uint64_t incarnation() const { return m_incarnation; }
    /**
     * Whether the local daemon must not own anything because its hold-off after joining has not
     * ended.
     */
    bool isFenced() const { return m_fenced; }
    /** Whether the hold-off ended long enough ago for the other daemons to have been notified. */
    bool hasJoined(core::Instant now) const;
    bool isLeaving() const { return m_leaving; }
    /** Whether the local daemon is its failure domain's relay. */
    bool isRelay() const { return relay() == m_self.vm; }
    /** VM of the local failure domain's relay. */
    std::string relay() const;
    const std::map<std::string, Member> &members() const { return m_members; }
    const std::map<std::string, RemoteDomain> &remoteDomains() const { return m_remoteDomains; }
    /**
     * VMs of the daemons to contact in another failure domain, in order of preference: its relay
     * first, then live daemons, then VMs of the VM list.
     */
    std::vector<std::string> contacts(const std::string &failureDomain) const;

private:
    void rejoinIfPaused(core::Instant now);
    void expireMembers(core::Instant now);
    void expireDomains(core::Instant now, OutgoingMessages &messages);
    void sendHeartbeats(core::Instant now, OutgoingMessages &messages);
    OutgoingMessage heartbeatFor(Member &member, const std::string &relayVm, core::Instant now);
    void sendDetailsNow(core::Instant now, OutgoingMessages &messages);
    void onHeartbeat(const wire::Envelope &envelope, core::Instant now, OutgoingMessages &messages);
    void applyDetails(Member &member, const wire::Heartbeat &heartbeat);
    void onSummary(const wire::Envelope &envelope, core::Instant now, OutgoingMessages &messages);
    void onSummaries(const wire::Envelope &envelope, core::Instant now);
    /** Adds daemons of the local failure domain that another daemon knows. */
    void addMembers(const wire::DomainSummary &summary, core::Instant now);
    void applySummary(RemoteDomain &domain, const wire::DomainSummary &summary);
    void applyGenerations(RemoteDomain &domain, const wire::DomainSummary &summary);
    /** As the relay, sends the generations of the other failure domains to the local one. */
    void forwardGenerations(core::Instant now, OutgoingMessages &messages);
    void sendSummaries(core::Instant now, OutgoingMessages &messages);
    void sendSummaryTo(const std::string &failureDomain, RemoteDomain &domain, bool withMembers,
                       OutgoingMessages &messages);
    void forwardSummary(const std::string &failureDomain, OutgoingMessages &messages) const;
    void sendAllSummaries(const std::string &vm, OutgoingMessages &messages) const;
    wire::DomainSummary ownSummary() const;
    std::uint64_t remoteDigest() const;
    core::Duration summaryInterval() const;
    bool isListedAsLeaving(const std::string &vm) const;
    bool isLocalLeaving() const;

    const MemberAddress m_self;
    const MembershipTimes m_times;
    std::uint64_t m_incarnation;
    LocalState m_local;
    core::Instant m_lastAdvance;
    core::Instant m_fencedUntil;
    core::Instant m_nextHeartbeat;
    bool m_fenced = true;
    bool m_leaving = false;
    bool m_wasRelay = false;
    /** Whether view() or addresses() may have changed since the last call of view(). */
    bool m_changed = true;
    std::uint64_t m_lastSentDigest = 0;
    bool m_generationsChanged = false;
    core::Instant m_nextGenerationsTime {0};
    std::map<std::string, MemberAddress> m_vmList;
    std::map<std::string, Member> m_members;
    std::map<std::string, RemoteDomain> m_remoteDomains;
    std::shared_ptr<const policy::PeerView> m_view;
};

} // namespace sardinehollow::peer
