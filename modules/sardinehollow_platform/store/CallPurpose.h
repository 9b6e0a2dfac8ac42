#pragma once

#include <cstddef>
#include <string_view>

namespace sardinehollow::platform {

/** What a call to the store is made for. Counted by purpose, since the platform counts each call.
 */
enum class CallPurpose {
    Configuration,
    Claim,
    Epoch,
    Operator,
    /** Entries under which backend servers register themselves. */
    Servers,
    /** Entries under which the daemons that serve callers register themselves. */
    Entries,
    Count,
};

inline constexpr std::size_t callPurposeCount = static_cast<std::size_t>(CallPurpose::Count);

std::string_view toName(CallPurpose purpose);

} // namespace sardinehollow::platform
