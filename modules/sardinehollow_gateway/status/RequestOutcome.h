#pragma once

#include <cstddef>
#include <string_view>

namespace sardinehollow::gateway {

/** How a request ended. */
enum class RequestOutcome {
    /** A backend server's response was delivered in full. */
    Delivered,
    /** No configuration is known yet. */
    NoConfiguration,
    /**
     * The configuration in force does not allow the request, but a newer one may be in the store.
     */
    ConfigurationOutdated,
    NoRoute,
    /** No team has the request's key, and its route is not anonymous. */
    Unauthorized,
    /** The daemon is shutting down and takes no new requests. */
    Leaving,
    /** The request exceeds the quota of its team. */
    OverQuota,
    /** The request is not valid HTTP, or its framing is ambiguous. */
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /** The caller did not send its complete request in time. */
    RequestTimeout,
    /** No backend server is eligible, or the last one tried could not be reached. */
    NoServer,
    /** The request is quarantined because it is suspected of crashing servers. */
    Quarantined,
    /** All eligible backend servers are at capacity, or the spill ramp admits no more. */
    Overloaded,
    /** The last attempt was not run by its server, and no earlier one may have run. */
    NotRun,
    /** An attempt failed after the request may have run. */
    OutcomeUnknown,
    /** No response came within the route's timeout or the caller's deadline. */
    TimedOut,
    CallerLeft,
    /** The response was truncated after a part of it had been delivered. */
    ResponseCut,
    Count,
};

inline constexpr std::size_t requestOutcomeCount = static_cast<std::size_t>(RequestOutcome::Count);

std::string_view toName(RequestOutcome outcome);

} // namespace sardinehollow::gateway
