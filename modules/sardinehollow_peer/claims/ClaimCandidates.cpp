#include "sardinehollow_peer/claims/ClaimCandidates.h"

#include "sardinehollow_core/hash/RendezvousHash.h"

#include <utility>

namespace sardinehollow::peer {

std::vector<std::string> claimCandidates(const policy::PeerView &view,
                                         const std::string &failureDomain)
{
    std::vector<std::string> staying;
    std::vector<std::string> leaving;
    for (const policy::Peer &peer : view.peers) {
        if (peer.failureDomain != failureDomain)
            continue;
        (peer.leaving ? leaving : staying).push_back(peer.vm);
    }
    const std::optional<std::size_t> owner
            = core::rendezvousOwner("claims/" + failureDomain, staying);
    if (owner)
        std::swap(staying.front(), staying[*owner]);
    // A daemon that is leaving still owns its scope until another daemon has taken the next epoch.
    staying.insert(staying.end(), leaving.begin(), leaving.end());
    return staying;
}

} // namespace sardinehollow::peer
