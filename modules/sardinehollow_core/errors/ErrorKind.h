#pragma once

#include <string_view>

namespace sardinehollow::core {

/** Kinds of failure that a function reports to its caller. */
enum class ErrorKind {
    InvalidInput,
    Conflict,
    NotFound,
    /** The operation has had no effect, for example because no connection could be made. */
    Unreachable,
    /** It is unknown whether the operation took effect, for example after a lost reply. */
    ResultUnknown,
    /** The other side refused the operation or cannot serve it now. */
    Unavailable,
    Internal,
};

std::string_view toName(ErrorKind kind);

} // namespace sardinehollow::core
