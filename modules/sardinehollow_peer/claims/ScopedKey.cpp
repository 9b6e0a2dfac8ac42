#include "sardinehollow_peer/claims/ScopedKey.h"

#include <charconv>

namespace sardinehollow::peer {

std::optional<ScopedKey> ScopedKey::parse(const std::string &key)
{
    const std::size_t tilde = key.find('~');
    if (tilde == std::string::npos || tilde == 0)
        return std::nullopt;
    const std::size_t dot = key.find('.', tilde);
    if (dot == std::string::npos || dot + 1 == key.size())
        return std::nullopt;
    ScopedKey scoped;
    scoped.failureDomain = key.substr(0, tilde);
    const char *const first = key.data() + tilde + 1;
    const char *const last = key.data() + dot;
    const auto [end, error] = std::from_chars(first, last, scoped.epoch);
    // Leading zeros are rejected: several spellings of one epoch would give one request several
    // keys.
    const bool valid = error == std::errc() && end == last && *first != '0';
    if (!valid)
        return std::nullopt;
    return scoped;
}

std::string ScopedKey::scope() const
{
    return failureDomain + "~" + std::to_string(epoch);
}

} // namespace sardinehollow::peer
