#pragma once

#include "sardinehollow_core/errors/Error.h"

#include <tl/expected.hpp>

namespace sardinehollow::core {

/** A value, or the error that occurred instead. */
template <typename Value>
using Result = tl::expected<Value, Error>;

/** Returns an error that converts to any Result. */
inline tl::unexpected<Error> failure(ErrorKind kind, std::string message, std::string remedy)
{
    return tl::unexpected<Error>(Error {kind, std::move(message), std::move(remedy)});
}

} // namespace sardinehollow::core
