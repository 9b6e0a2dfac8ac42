#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** A daemon process that holds permits; after a restart the daemon is a different holder. */
struct PermitHolder
{
    std::string vm;
    std::uint64_t incarnation = 0;

    auto operator<=>(const PermitHolder &) const = default;
};

} // namespace sardinehollow::policy
