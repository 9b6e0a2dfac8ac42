#pragma once

namespace sardinehollow::apps {

/** Exit codes of all programs. */
enum class ExitCode {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Invalid = 3,
    Conflict = 4,
    Unreachable = 5,
    ResultUnknown = 6,
};

} // namespace sardinehollow::apps
