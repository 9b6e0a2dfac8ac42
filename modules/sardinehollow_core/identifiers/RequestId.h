#pragma once

#include <compare>
#include <cstdint>

namespace sardinehollow::core {

/** Identifies a request by the incarnation of the daemon that accepted it and a sequence number. */
struct RequestId
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const RequestId &) const = default;
};

} // namespace sardinehollow::core
