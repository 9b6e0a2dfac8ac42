#pragma once

#include "sardinehollow_config/model/BackendServer.h"
#include "sardinehollow_policy/peers/PeerView.h"

#include <map>
#include <string>
#include <vector>

namespace sardinehollow::policy {

/** Assigns the slots of each backend server to a live daemon by rendezvous hashing. */
class SlotOwners
{
public:
    explicit SlotOwners(const PeerView &peers);

    /** Returns the owner, or nullptr if the server's failure domain has no eligible daemon. */
    const Peer *owner(const config::BackendServer &server) const;

private:
    struct DomainMembers
    {
        std::vector<std::string> names;
        std::vector<const Peer *> peers;
    };

    std::map<std::string, DomainMembers> m_domains;
};

} // namespace sardinehollow::policy
