#pragma once

#include "sardinehollow_core/hash/StableHash.h"
#include "sardinehollow_core/identifiers/RequestId.h"

#include <cstddef>

namespace sardinehollow::policy {

/** Hashes request ids for unordered containers. */
struct RequestIdHash
{
    std::size_t operator()(const core::RequestId &id) const
    {
        return core::combineHashes(id.incarnation, id.sequence);
    }
};

} // namespace sardinehollow::policy
