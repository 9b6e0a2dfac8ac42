#pragma once

#include <cstddef>
#include <string_view>

namespace sardinehollow::gateway {

/** Why an attempt at a backend server failed; the request is retried if that is allowed. */
enum class RetryReason {
    /** No connection to the server could be made. */
    NotConnected,
    /** The server stated that it did not run the request. */
    NotRun,
    /** Another server responded at the address. */
    OtherServer,
    /** The connection broke before the response was complete. */
    Broken,
    InvalidResponse,
    /** The server ran the request and responded with a 5xx status. */
    ServerError,
    Count,
};

inline constexpr std::size_t retryReasonCount = static_cast<std::size_t>(RetryReason::Count);

/** Whether the request of an attempt that failed in this way may have run. */
bool canHaveRun(RetryReason reason);

std::string_view toName(RetryReason reason);

} // namespace sardinehollow::gateway
