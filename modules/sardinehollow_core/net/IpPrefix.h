#pragma once

#include "sardinehollow_core/net/IpAddress.h"

namespace sardinehollow::core {

/** A block of IP addresses that share a prefix (CIDR). */
struct IpPrefix
{
    IpAddress address;
    /** Length in bits of the 128-bit form, so an IPv4 /24 has length 120. */
    unsigned length = 0;

    /** Parses "address/length". Error InvalidInput, also if bits beyond the length are set. */
    static Result<IpPrefix> parse(std::string_view text);

    bool contains(const IpAddress &candidate) const;
    std::string text() const;

    auto operator<=>(const IpPrefix &) const = default;
};

} // namespace sardinehollow::core
