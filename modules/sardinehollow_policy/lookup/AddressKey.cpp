#include "sardinehollow_policy/lookup/AddressKey.h"

namespace sardinehollow::policy {

AddressKey toKey(const core::IpAddress &address)
{
    return (static_cast<AddressKey>(address.high()) << 64U) | address.low();
}

AddressKey lastKey(const core::IpPrefix &prefix)
{
    constexpr unsigned addressBits = 128;
    const AddressKey first = toKey(prefix.address);
    if (prefix.length >= addressBits)
        return first;
    return first | (~static_cast<AddressKey>(0) >> prefix.length);
}

} // namespace sardinehollow::policy
