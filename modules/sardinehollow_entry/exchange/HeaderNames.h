#pragma once

namespace sardinehollow::entry {

inline constexpr const char *idempotencyKeyHeader = "Idempotency-Key";
/** Names a request in the logs of all daemons; the daemon gives one if the caller does not. */
inline constexpr const char *requestIdHeader = "Sardinehollow-Request-Id";
/** Remaining time in milliseconds. */
inline constexpr const char *deadlineHeader = "Sardinehollow-Deadline-Ms";
inline constexpr const char *outcomeHeader = "Sardinehollow-Outcome";
inline constexpr const char *reasonHeader = "Sardinehollow-Reason";
inline constexpr const char *generationHeader = "Sardinehollow-Generation";
inline constexpr const char *retryAfterHeader = "Retry-After";
inline constexpr const char *notRunHeader = "Sardinehollow-Not-Run";
inline constexpr const char *loadHeader = "Sardinehollow-Load";
inline constexpr const char *leavingHeader = "Sardinehollow-Leaving";
/** Failure domain of the daemon that forwarded a request; accepted on the forward listener only. */
inline constexpr const char *originHeader = "Sardinehollow-Origin";
/** Hash of the caller of a forwarded request, for fair shares; forward listener only. */
inline constexpr const char *callerHashHeader = "Sardinehollow-Caller-Hash";
/** Caller's address; accepted only if the settings trust it. */
inline constexpr const char *callerHeader = "Sardinehollow-Caller";

} // namespace sardinehollow::entry
