#pragma once

#include "sardinehollow_gateway/exchange/WireProtocol.h"
#include "sardinehollow_gateway/status/RetryReason.h"

#include <optional>

namespace sardinehollow::gateway {

/** Why a complete response of a backend server settles nothing. */
struct ResponseFailure
{
    RetryReason reason = RetryReason::InvalidResponse;
    const char *detail = "";
};

/**
 * Returns why a complete response must not be delivered; nothing if it may be. A response with a
 * 5xx status may be delivered.
 */
std::optional<ResponseFailure> findFailure(int status, const BackendResponseFields &fields);

/** Whether a response may be delivered before it is complete, by the fields of its head. */
bool mayBeStreamed(const BackendResponseFields &fields);

} // namespace sardinehollow::gateway
