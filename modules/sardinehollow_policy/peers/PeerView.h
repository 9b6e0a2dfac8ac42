#pragma once

#include "sardinehollow_policy/peers/Peer.h"

#include <cstddef>
#include <vector>

namespace sardinehollow::policy {

/** All daemons that the local daemon considers alive, including itself, sorted by VM name. */
struct PeerView
{
    std::vector<Peer> peers;
    /** Index of the local daemon in peers. */
    std::size_t self = 0;
    /** After the local daemon joined or was paused: it owns no slots and is marked as leaving. */
    bool fenced = false;

    const Peer &local() const { return peers.at(self); }
};

} // namespace sardinehollow::policy
