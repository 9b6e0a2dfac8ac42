#pragma once

#include "sardinehollow_core/net/IpPrefix.h"

#include <cstdint>

namespace sardinehollow::config {

/** A block of caller addresses and the site that its callers are steered to. */
struct ClientBlock
{
    core::IpPrefix prefix;
    /** Index into Configuration::sites. */
    std::uint32_t site = 0;

    bool operator==(const ClientBlock &) const = default;
};

} // namespace sardinehollow::config
