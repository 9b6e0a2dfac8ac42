#include "sardinehollow_gateway/exchange/Refusal.h"

#include <Poco/NumberFormatter.h>

namespace sardinehollow::gateway {

using Poco::Net::HTTPResponse;

int statusOf(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::NoRoute:
        return HTTPResponse::HTTP_NOT_FOUND;
    case RequestOutcome::Unauthorized:
        return HTTPResponse::HTTP_UNAUTHORIZED;
    case RequestOutcome::OverQuota:
        return HTTPResponse::HTTP_TOO_MANY_REQUESTS;
    case RequestOutcome::Malformed:
        return HTTPResponse::HTTP_BAD_REQUEST;
    case RequestOutcome::HeaderTooLarge:
        return HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
    case RequestOutcome::BodyTooLarge:
        return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    case RequestOutcome::RequestTimeout:
        return HTTPResponse::HTTP_REQUEST_TIMEOUT;
    case RequestOutcome::OutcomeUnknown:
        return HTTPResponse::HTTP_BAD_GATEWAY;
    case RequestOutcome::TimedOut:
        return HTTPResponse::HTTP_GATEWAY_TIMEOUT;
    default:
        return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    }
}

RequestOutcome toOutcome(network::RequestError error)
{
    switch (error) {
    case network::RequestError::HeaderTooLarge:
        return RequestOutcome::HeaderTooLarge;
    case network::RequestError::HeaderTimeout:
        return RequestOutcome::RequestTimeout;
    case network::RequestError::Malformed:
    case network::RequestError::UnsupportedVersion:
        return RequestOutcome::Malformed;
    }
    return RequestOutcome::Malformed;
}

HTTPResponse makeRefusal(int status, core::Duration retryAfter, const std::string &challenge)
{
    HTTPResponse response(static_cast<HTTPResponse::HTTPStatus>(status));
    response.set("Content-Type", "application/problem+json");
    if (status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE
        || status == HTTPResponse::HTTP_TOO_MANY_REQUESTS) {
        const double seconds = std::chrono::duration<double>(retryAfter).count();
        response.set("Retry-After", Poco::NumberFormatter::format(seconds, 1));
    }
    if (status == HTTPResponse::HTTP_UNAUTHORIZED)
        response.set("WWW-Authenticate", challenge);
    return response;
}

} // namespace sardinehollow::gateway
