#pragma once

#include <cstddef>
#include <string_view>

namespace sardinehollow::platform {

/** Kinds of call to the store. */
enum class CallKind {
    Range,
    Transaction,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Watch,
    Count,
};

inline constexpr std::size_t callKindCount = static_cast<std::size_t>(CallKind::Count);

std::string_view toName(CallKind kind);

} // namespace sardinehollow::platform
