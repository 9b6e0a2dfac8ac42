#include "sardinehollow_policy/lookup/CallerHash.h"

#include "sardinehollow_core/hash/StableHash.h"

namespace sardinehollow::policy {

std::uint64_t callerHash(const core::IpAddress &caller)
{
    return core::combineHashes(caller.high(), caller.low());
}

} // namespace sardinehollow::policy
