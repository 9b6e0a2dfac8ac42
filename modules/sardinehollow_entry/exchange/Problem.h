#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_entry/exchange/Outcome.h"
#include "sardinehollow_network/server/RequestFault.h"
#include "sardinehollow_network/server/ResponseSink.h"
#include "sardinehollow_policy/reasons/RefusalReason.h"

#include <cstdint>
#include <string>

namespace sardinehollow::entry {

/** A response that the daemon itself gives in place of a backend server's. */
struct Problem
{
    Poco::Net::HTTPResponse::HTTPStatus status = Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    Outcome outcome = Outcome::NotRun;
    policy::RefusalReason reason = policy::RefusalReason::None;
    core::Duration retryAfter {0};
    std::uint64_t generation = 0;
    /** Name of the request; empty if its head could not be read. */
    std::string requestId;
};

/** The answer to a request that cannot be read and has not run. */
Problem problemOf(network::RequestFault fault);

/** Sends the problem as application/problem+json. */
void sendProblem(network::ResponseSink &caller, const Problem &problem);

} // namespace sardinehollow::entry
