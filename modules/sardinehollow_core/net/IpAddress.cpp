#include "sardinehollow_core/net/IpAddress.h"

#include <algorithm>
#include <arpa/inet.h>

namespace sardinehollow::core {

namespace {

constexpr std::array<std::uint8_t, 12> ipv4MappedPrefix {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

std::uint64_t readBigEndian(const std::uint8_t *bytes)
{
    std::uint64_t value = 0;
    for (int index = 0; index < 8; ++index)
        value = (value << 8U) | bytes[index];
    return value;
}

} // namespace

IpAddress::IpAddress(const std::array<std::uint8_t, 16> &bytes)
    : m_bytes(bytes)
{ }

Result<IpAddress> IpAddress::parse(std::string_view text)
{
    const std::string terminated(text);
    std::array<std::uint8_t, 16> bytes {};
    if (inet_pton(AF_INET6, terminated.c_str(), bytes.data()) == 1)
        return IpAddress(bytes);
    std::copy(ipv4MappedPrefix.begin(), ipv4MappedPrefix.end(), bytes.begin());
    if (inet_pton(AF_INET, terminated.c_str(), bytes.data() + ipv4MappedPrefix.size()) == 1)
        return IpAddress(bytes);
    return failure(ErrorKind::InvalidInput, "'" + terminated + "' is not an IP address",
                   "give a numeric IPv4 or IPv6 address");
}

bool IpAddress::isIpv4() const
{
    return std::equal(ipv4MappedPrefix.begin(), ipv4MappedPrefix.end(), m_bytes.begin());
}

std::uint64_t IpAddress::high() const
{
    return readBigEndian(m_bytes.data());
}

std::uint64_t IpAddress::low() const
{
    return readBigEndian(m_bytes.data() + 8);
}

std::string IpAddress::text() const
{
    std::array<char, INET6_ADDRSTRLEN> buffer {};
    if (isIpv4())
        inet_ntop(AF_INET, m_bytes.data() + ipv4MappedPrefix.size(), buffer.data(), buffer.size());
    else
        inet_ntop(AF_INET6, m_bytes.data(), buffer.data(), buffer.size());
    return buffer.data();
}

} // namespace sardinehollow::core
