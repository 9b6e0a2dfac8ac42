#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sardinehollow::peer {

/** Scope of an idempotency key of the form "<failureDomain>~<epoch>.<own part>". */
struct ScopedKey
{
    std::string failureDomain;
    std::uint64_t epoch = 0;

    /** Returns nothing for a key without a scope prefix. */
    static std::optional<ScopedKey> parse(const std::string &key);
    /** Returns the scope prefix in the form that look-up answers give to callers. */
    std::string scope() const;
};

} // namespace sardinehollow::peer
