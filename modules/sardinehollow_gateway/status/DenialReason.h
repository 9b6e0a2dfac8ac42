#pragma once

#include <cstddef>
#include <string_view>

namespace sardinehollow::gateway {

/** Why a daemon told a caller that its request is wrong, so that the caller does not repeat it. */
enum class DenialReason {
    NoRoute,
    /** The request has no key that can be read. */
    MissingKey,
    /** The configuration has no team with the request's key. */
    UnknownKey,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    Count,
};

inline constexpr std::size_t denialReasonCount = static_cast<std::size_t>(DenialReason::Count);

std::string_view toName(DenialReason reason);

} // namespace sardinehollow::gateway
