#include "sardinehollow_core/net/IpPrefix.h"

#include <charconv>

namespace sardinehollow::core {

namespace {

constexpr unsigned addressBits = 128;
constexpr unsigned halfBits = 64;

std::uint64_t mask(unsigned bits)
{
    return bits == 0 ? 0 : ~std::uint64_t {0} << (halfBits - bits);
}

std::uint64_t highMask(unsigned length)
{
    return mask(length < halfBits ? length : halfBits);
}

std::uint64_t lowMask(unsigned length)
{
    return mask(length > halfBits ? length - halfBits : 0);
}

tl::unexpected<Error> invalidPrefix(std::string_view text, std::string remedy)
{
    return failure(ErrorKind::InvalidInput, "'" + std::string(text) + "' is not a client block",
                   std::move(remedy));
}

} // namespace

Result<IpPrefix> IpPrefix::parse(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos)
        return invalidPrefix(text, "use CIDR notation, for example 10.0.0.0/8");
    const Result<IpAddress> address = IpAddress::parse(text.substr(0, slash));
    if (!address)
        return tl::unexpected<Error>(address.error());
    const std::string_view digits = text.substr(slash + 1);
    unsigned length = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    const unsigned limit
            = address->isIpv4() ? addressBits - IpAddress::ipv4MappedBits : addressBits;
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || length > limit)
        return invalidPrefix(text, "give a prefix length from 0 to " + std::to_string(limit));
    const unsigned bits = address->isIpv4() ? length + IpAddress::ipv4MappedBits : length;
    const bool hostBits
            = (address->high() & ~highMask(bits)) != 0 || (address->low() & ~lowMask(bits)) != 0;
    if (hostBits)
        return invalidPrefix(text, "clear the address bits beyond the prefix length");
    return IpPrefix {*address, bits};
}

bool IpPrefix::contains(const IpAddress &candidate) const
{
    return ((candidate.high() ^ address.high()) & highMask(length)) == 0
            && ((candidate.low() ^ address.low()) & lowMask(length)) == 0;
}

std::string IpPrefix::text() const
{
    const unsigned bits = address.isIpv4() ? length - IpAddress::ipv4MappedBits : length;
    return address.text() + "/" + std::to_string(bits);
}

} // namespace sardinehollow::core
