#pragma once

#include "sardinehollow_peer/messages/OutgoingMessage.h"
#include "sardinehollow_peer/replication/ReplicaContent.h"

#include <memory>
#include <string>
#include <vector>

namespace sardinehollow::peer {

/** Actions that the caller of a replica carries out after an event. */
struct ReplicaActions
{
    OutgoingMessages messages;
    /** Read the store's head and watch it from that revision on; report both to the replica. */
    bool startWatch = false;
    /** Cancel the watch. */
    bool cancelWatch = false;
    /** Digests of parts to read from the store. */
    std::vector<std::string> readParts;
    /** Configurations to apply, in order. */
    std::vector<std::shared_ptr<const ReplicaContent>> adopted;

    void append(ReplicaActions more);
};

} // namespace sardinehollow::peer
