#include "sardinehollow_policy/pool/SlotOwners.h"

#include "sardinehollow_core/hash/RendezvousHash.h"

namespace sardinehollow::policy {

SlotOwners::SlotOwners(const PeerView &peers)
{
    for (const Peer &peer : peers.peers) {
        if (peer.leaving)
            continue;
        DomainMembers &domain = m_domains[peer.failureDomain];
        domain.names.push_back(peer.vm);
        domain.peers.push_back(&peer);
    }
}

const Peer *SlotOwners::owner(const config::BackendServer &server) const
{
    const auto found = m_domains.find(server.failureDomain);
    if (found == m_domains.end())
        return nullptr;
    const auto index = core::rendezvousOwner(server.name, found->second.names);
    return index ? found->second.peers[*index] : nullptr;
}

} // namespace sardinehollow::policy
