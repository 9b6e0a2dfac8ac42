#pragma once

#include "sardinehollow_peer/replication/ReplicaHead.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sardinehollow::peer {

/** A complete configuration: the texts of its parts, with verified digests. */
struct ReplicaContent
{
    ReplicaHead head;
    /** Digests of the parts, in order. */
    std::vector<std::string> digests;
    /** Texts of the parts and of the manifest, by digest. */
    std::map<std::string, std::shared_ptr<const std::string>> texts;
};

} // namespace sardinehollow::peer
