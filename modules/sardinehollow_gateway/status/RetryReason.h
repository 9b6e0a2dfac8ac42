#pragma once

#include <cstddef>
#include <string_view>

namespace sardinehollow::gateway {

/** Why an attempt at a backend server did not settle a request. */
enum class RetryReason {
    NotConnected,
    /** The server stated that it did not run the request. */
    NotRun,
    /** Another server has the address. */
    OtherServer,
    Broken,
    InvalidResponse,
    /** The server ran the request and failed. */
    ServerError,
    Count,
};

inline constexpr std::size_t retryReasonCount = static_cast<std::size_t>(RetryReason::Count);

std::string_view toName(RetryReason reason);

} // namespace sardinehollow::gateway
