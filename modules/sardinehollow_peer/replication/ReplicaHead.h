#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::peer {

/** Head of an accepted configuration, as daemons replicate it. */
struct ReplicaHead
{
    std::uint64_t generation = 0;
    /** Digest of the manifest, the part that lists the digests of all others. */
    std::string manifest;
    /** config::ConfigurationDelta from the previous generation as JSON; empty if there is none. */
    std::string delta;
    std::string digest;
    std::string submissionId;
    std::string author;
    std::string message;

    bool operator==(const ReplicaHead &) const = default;
};

} // namespace sardinehollow::peer
