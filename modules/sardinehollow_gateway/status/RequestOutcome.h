#pragma once

#include <cstddef>
#include <string_view>

namespace sardinehollow::gateway {

/** How a request ended. */
enum class RequestOutcome {
    /** A backend server's response was delivered. */
    Delivered,
    /** No configuration is known yet. */
    NoConfiguration,
    NoRoute,
    /** The daemon stops soon and takes no new requests. */
    Leaving,
    /** The request is no proper HTTP, or its framing is ambiguous. */
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /** The caller did not finish its request in time. */
    RequestTimeout,
    /** No backend server may run the request. */
    NoServer,
    /** The request is held to crash the servers that run it. */
    Quarantined,
    /** All backend servers that may be used are full. */
    Overloaded,
    /** Every server that was tried stated that it did not run the request. */
    NotRun,
    /** An attempt failed and the request may have run. */
    OutcomeUnknown,
    /** No response came within the route's timeout or the caller's deadline. */
    TimedOut,
    CallerLeft,
    /** The response broke off after a part of it had been delivered. */
    ResponseCut,
    Count,
};

inline constexpr std::size_t requestOutcomeCount = static_cast<std::size_t>(RequestOutcome::Count);

std::string_view toName(RequestOutcome outcome);

} // namespace sardinehollow::gateway
