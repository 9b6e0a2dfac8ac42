#pragma once

#include "sardinehollow_core/errors/Result.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace sardinehollow::core {

/** An IPv4 or IPv6 address; IPv4 is stored as the IPv4-mapped IPv6 address. */
class IpAddress
{
public:
    static constexpr unsigned ipv4MappedBits = 96;

    IpAddress() = default;
    explicit IpAddress(const std::array<std::uint8_t, 16> &bytes);

    /** Parses a numeric address; error InvalidInput for anything else. */
    static Result<IpAddress> parse(std::string_view text);

    bool isIpv4() const;
    /** Upper and lower 64 bits in network order. */
    std::uint64_t high() const;
    std::uint64_t low() const;
    std::string text() const;

    auto operator<=>(const IpAddress &) const = default;

private:
    std::array<std::uint8_t, 16> m_bytes {};
};

} // namespace sardinehollow::core
