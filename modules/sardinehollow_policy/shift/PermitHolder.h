#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** One run of a daemon that holds permits; a restarted daemon is another holder. */
struct PermitHolder
{
    std::string vm;
    std::uint64_t incarnation = 0;

    auto operator<=>(const PermitHolder &) const = default;
};

} // namespace sardinehollow::policy
