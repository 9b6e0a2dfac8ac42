#include "sardinehollow_entry/exchange/Problem.h"

#include "sardinehollow_entry/exchange/HeaderNames.h"

#include <Poco/JSON/Object.h>

#include <sstream>

namespace sardinehollow::entry {

Problem problemOf(network::RequestError error)
{
    using Poco::Net::HTTPResponse;
    Problem problem;
    problem.reason = policy::RefusalReason::MalformedRequest;
    problem.status = HTTPResponse::HTTP_BAD_REQUEST;
    if (error == network::RequestError::HeaderTimeout)
        problem.status = HTTPResponse::HTTP_REQUEST_TIMEOUT;
    if (error == network::RequestError::UnsupportedVersion)
        problem.status = HTTPResponse::HTTP_VERSION_NOT_SUPPORTED;
    return problem;
}

void sendProblem(network::ResponseSink &caller, const Problem &problem)
{
    const std::string reason(policy::toName(problem.reason));
    const std::string outcome(toName(problem.outcome));
    Poco::JSON::Object body(Poco::JSON_PRESERVE_KEY_ORDER);
    body.set("type", "about:blank");
    body.set("title", reason);
    body.set("status", static_cast<int>(problem.status));
    body.set("outcome", outcome);
    std::ostringstream text;
    body.stringify(text);

    Poco::Net::HTTPResponse response(problem.status);
    response.setContentType("application/problem+json");
    response.set(outcomeHeader, outcome);
    response.set(reasonHeader, reason);
    response.set(generationHeader, std::to_string(problem.generation));
    if (!problem.requestId.empty())
        response.set(requestIdHeader, problem.requestId);
    if (problem.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(problem.retryAfter);
        response.set(retryAfterHeader, std::to_string(seconds.count()));
    }
    caller.sendResponse(response, text.str());
}

} // namespace sardinehollow::entry
