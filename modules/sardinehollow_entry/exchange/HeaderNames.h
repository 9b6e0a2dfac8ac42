#pragma once

namespace sardinehollow::entry {

inline constexpr const char *idempotencyKeyHeader = "Idempotency-Key";
/** Identifies a request in the logs of all daemons; generated if the caller sends none. */
inline constexpr const char *requestIdHeader = "Sardinehollow-Request-Id";
/** Time remaining until the request's deadline, in milliseconds. */
inline constexpr const char *deadlineHeader = "Sardinehollow-Deadline-Ms";
inline constexpr const char *outcomeHeader = "Sardinehollow-Outcome";
inline constexpr const char *reasonHeader = "Sardinehollow-Reason";
inline constexpr const char *generationHeader = "Sardinehollow-Generation";
inline constexpr const char *retryAfterHeader = "Retry-After";
inline constexpr const char *notRunHeader = "Sardinehollow-Not-Run";
inline constexpr const char *loadHeader = "Sardinehollow-Load";
inline constexpr const char *leavingHeader = "Sardinehollow-Leaving";
/** Failure domain of the daemon that forwarded a request; read only on the forward listener. */
inline constexpr const char *originHeader = "Sardinehollow-Origin";
/** Hash of a forwarded request's caller, for fair sharing; read only on the forward listener. */
inline constexpr const char *callerHashHeader = "Sardinehollow-Caller-Hash";
/** IP address of the caller; read only if EntryServices::trustCallerHeader is set. */
inline constexpr const char *callerHeader = "Sardinehollow-Caller";

} // namespace sardinehollow::entry
