#pragma once

#include <cstddef>
#include <string_view>

namespace sardinehollow::platform {

/** What a call to the store is for; the platform counts each call. */
enum class CallPurpose {
    Configuration,
    Claim,
    Epoch,
    Operator,
    /** Backend servers that register themselves. */
    Servers,
    /** Entries of the daemons that serve callers. */
    Entries,
    Count,
};

inline constexpr std::size_t callPurposeCount = static_cast<std::size_t>(CallPurpose::Count);

std::string_view toName(CallPurpose purpose);

} // namespace sardinehollow::platform
