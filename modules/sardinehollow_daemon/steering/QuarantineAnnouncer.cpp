#include "sardinehollow_daemon/steering/QuarantineAnnouncer.h"

#include "sardinehollow_core/hash/StableHash.h"
#include "sardinehollow_daemon/steering/SteeringMessages.h"

#include <algorithm>

namespace sardinehollow::daemon {

namespace {

constexpr core::Duration minNoticeInterval = std::chrono::seconds(1);
// A fifth of a daemon's budget for control messages (5 KB/s). Fingerprints found before the next
// notice is due share that notice.
constexpr std::size_t bytesPerSecond = 1'000;
// Estimate of the fields that the transport adds: deployment, sender, incarnation and sequence.
constexpr std::size_t envelopeOverheadBytes = 40;
// With more daemons in other failure domains, one daemon of each is sent the notice.
constexpr std::size_t maxDirectReceivers = 32;
// Bounds the traffic that other failure domains can cause at this daemon.
constexpr std::size_t maxRedistributedEntries = 256;

// Rendezvous hashing by sender spreads redistribution over the daemons of a failure domain.
std::uint64_t rendezvousWeight(const policy::Peer &peer, std::uint64_t sender)
{
    return core::combineHashes(sender, core::stableHash(peer.vm));
}

std::vector<const policy::Peer *> peersOfOtherDomains(const policy::PeerView &view)
{
    std::vector<const policy::Peer *> remotePeers;
    for (const policy::Peer &other : view.peers) {
        if (other.failureDomain != view.local().failureDomain)
            remotePeers.push_back(&other);
    }
    return remotePeers;
}

std::vector<const policy::Peer *> onePerDomain(const std::vector<const policy::Peer *> &remotePeers,
                                               const std::string &sender)
{
    const std::uint64_t hash = core::stableHash(sender);
    std::map<std::string, const policy::Peer *> chosen;
    for (const policy::Peer *other : remotePeers) {
        if (other->leaving)
            continue;
        const policy::Peer *&best = chosen[other->failureDomain];
        if (best == nullptr || rendezvousWeight(*best, hash) < rendezvousWeight(*other, hash))
            best = other;
    }
    std::vector<const policy::Peer *> result;
    result.reserve(chosen.size());
    for (const auto &[domain, other] : chosen)
        result.push_back(other);
    return result;
}

} // namespace

peer::OutgoingMessages
QuarantineAnnouncer::advance(const std::vector<policy::QuarantineEntry> &local,
                             const policy::PeerView &view, core::Instant now)
{
    expire(now);
    addLocal(local, now);
    updateReceivers(view);
    if (m_entries.empty() || now < m_nextSend)
        return {};
    peer::OutgoingMessages messages;
    std::size_t bytes = 0;
    for (auto &[vm, receiver] : m_receivers) {
        peer::wire::QuarantineNotice notice = makeNotice(receiver, now);
        if (notice.fingerprints().empty())
            continue;
        peer::OutgoingMessage message {vm, {}};
        *message.envelope.mutable_quarantine_notice() = std::move(notice);
        bytes += message.envelope.ByteSizeLong() + envelopeOverheadBytes;
        messages.push_back(std::move(message));
    }
    const core::Duration pacingInterval
            = core::Duration(std::chrono::seconds(1)) * bytes / bytesPerSecond;
    if (!messages.empty())
        m_nextSend = now + std::max(minNoticeInterval, pacingInterval);
    return messages;
}

void QuarantineAnnouncer::redistribute(const std::vector<policy::QuarantineEntry> &entries,
                                       core::Instant now)
{
    expire(now);
    auto redistributed = static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(),
                          [](const auto &item) { return !item.second.isLocal; }));
    for (const policy::QuarantineEntry &entry : entries) {
        if (redistributed >= maxRedistributedEntries)
            return;
        const Entry added {m_lastSequence + 1, now + entry.remaining, false};
        if (!m_entries.emplace(entry.fingerprint, added).second)
            continue;
        ++m_lastSequence;
        ++redistributed;
    }
}

void QuarantineAnnouncer::expire(core::Instant now)
{
    std::erase_if(m_entries, [now](const auto &item) { return item.second.expires <= now; });
}

void QuarantineAnnouncer::addLocal(const std::vector<policy::QuarantineEntry> &local,
                                   core::Instant now)
{
    for (const policy::QuarantineEntry &entry : local) {
        Entry &known = m_entries[entry.fingerprint];
        if (!known.isLocal)
            known = {++m_lastSequence, now + entry.remaining, true};
    }
}

void QuarantineAnnouncer::updateReceivers(const policy::PeerView &view)
{
    Receivers receivers;
    const auto add = [&](const policy::Peer &peer, bool isSameDomain, bool redistributes) {
        Receiver receiver {peer.incarnation, isSameDomain, redistributes, 0};
        const auto known = m_receivers.find(peer.vm);
        // A restarted daemon has lost the entries that it was sent.
        if (known != m_receivers.end() && known->second.incarnation == peer.incarnation)
            receiver.lastSentSequence = known->second.lastSentSequence;
        receivers.emplace(peer.vm, receiver);
    };
    for (const policy::Peer &other : view.peers) {
        if (other.failureDomain == view.local().failureDomain && other.vm != view.local().vm)
            add(other, true, false);
    }
    const std::vector<const policy::Peer *> remotePeers = peersOfOtherDomains(view);
    const bool sendsDirectly = remotePeers.size() <= maxDirectReceivers;
    for (const policy::Peer *other :
         sendsDirectly ? remotePeers : onePerDomain(remotePeers, view.local().vm))
        add(*other, false, !sendsDirectly);
    m_receivers = std::move(receivers);
}

peer::wire::QuarantineNotice QuarantineAnnouncer::makeNotice(Receiver &receiver,
                                                             core::Instant now) const
{
    peer::wire::QuarantineNotice notice;
    if (receiver.lastSentSequence == m_lastSequence)
        return notice;
    notice.set_pass_on(receiver.redistributes);
    std::map<std::uint64_t, policy::QuarantineEntry> due;
    for (const auto &[fingerprint, entry] : m_entries) {
        // Redistributed entries stay in the local failure domain; the domain that found a
        // fingerprint announces it to the others itself.
        if (entry.sequence > receiver.lastSentSequence && (receiver.isSameDomain || entry.isLocal))
            due[entry.sequence] = {fingerprint, entry.expires - now};
    }
    for (const auto &[sequence, entry] : due) {
        if (static_cast<std::size_t>(notice.fingerprints_size()) == maxNoticeEntries)
            return notice;
        addToWire(entry, notice);
        receiver.lastSentSequence = sequence;
    }
    receiver.lastSentSequence = m_lastSequence;
    return notice;
}

} // namespace sardinehollow::daemon
