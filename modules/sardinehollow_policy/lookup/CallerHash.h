#pragma once

#include "sardinehollow_core/net/IpAddress.h"

#include <cstdint>

namespace sardinehollow::policy {

/** Returns the stable hash of a caller's address, the same in every daemon. */
std::uint64_t callerHash(const core::IpAddress &caller);

} // namespace sardinehollow::policy
