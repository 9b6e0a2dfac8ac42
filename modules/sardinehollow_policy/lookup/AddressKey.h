#pragma once

#include "sardinehollow_core/net/IpPrefix.h"

namespace sardinehollow::policy {

/** An IP address as a 128-bit number, so that addresses can be compared and subtracted. */
using AddressKey = unsigned __int128;

AddressKey toKey(const core::IpAddress &address);

/** Returns the last address of a block. */
AddressKey lastKey(const core::IpPrefix &prefix);

} // namespace sardinehollow::policy
