#include "sardinehollow_gateway/exchange/ResponseFailure.h"

namespace sardinehollow::gateway {

using Poco::Net::HTTPResponse;

std::optional<ResponseFailure> findFailure(int status, const BackendResponseFields &fields)
{
    if (fields.isMisdirected)
        return {{RetryReason::OtherServer, "another server responded at the address"}};
    if (fields.didNotRun)
        return {{RetryReason::NotRun, "the server shed the request"}};
    if (fields.hasNotRunStatus)
        return {{RetryReason::InvalidResponse,
                 "the status says that the request did not run, but the server does not state it"}};
    // Without the server's signature, callers take a redirection or a client error for this
    // daemon's verdict on their request, and do not repeat it.
    const bool mustBeSigned = status < HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    if (mustBeSigned && (!fields.isSigned || fields.requestId.empty()))
        return {{RetryReason::InvalidResponse, "the response is not signed by the server"}};
    return std::nullopt;
}

bool mayBeStreamed(const BackendResponseFields &fields)
{
    return fields.isSigned && !fields.requestId.empty() && !fields.didNotRun
            && !fields.hasNotRunStatus;
}

} // namespace sardinehollow::gateway
