#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_gateway/status/RequestOutcome.h"
#include "sardinehollow_network/server/RequestHandler.h"

#include <Poco/Net/HTTPResponse.h>

#include <string>

namespace sardinehollow::gateway {

/** Returns the status of a response without an answer of a backend server. */
int statusOf(RequestOutcome outcome);

/** Returns how a request ends that cannot be read. */
RequestOutcome toOutcome(network::RequestError error);

/**
 * Returns the head of a response without an answer of a backend server. With 503 or 429 it has the
 * time after which the caller may retry; with 401, the authentication challenge.
 */
Poco::Net::HTTPResponse makeRefusal(int status, core::Duration retryAfter,
                                    const std::string &challenge);

} // namespace sardinehollow::gateway
