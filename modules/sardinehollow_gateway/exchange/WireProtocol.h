#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::gateway {

/** Platform-specific fields in the head of a caller's request. */
struct CallerRequestFields
{
    /** Id of the caller's attempt; empty if the request has none. */
    std::string requestId;
    /** Time until the caller's deadline, counted from the arrival of the request. */
    std::optional<core::Duration> timeLeft;
    /** The object that the request concerns; empty if unknown. */
    std::string object;
    /** Key of the caller's team; empty if the request has none or more than one. A secret. */
    std::string teamKey;
};

/** Platform-specific fields in the head of a backend server's response. */
struct BackendResponseFields
{
    /** Running and queued requests and the slots of the server at the time of the response. */
    struct Load
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
        /** How much longer than usual requests run there at that time; 1 if as usual. */
        double slowdown = 1;
    };

    /** Id of the request that this responds to; empty if the response has none. */
    std::string requestId;
    /** Whether the response has the server's signature header. */
    bool isSigned = false;
    /** Whether the server states that it did not run the request. */
    bool didNotRun = false;
    /** Whether callers take the status for a statement that the request did not run. */
    bool hasNotRunStatus = false;
    /** Whether another server than the addressed one responded. */
    bool isMisdirected = false;
    /** Whether the server states that it is about to stop. */
    bool isLeaving = false;
    /** Requests per second that the server accepts from all daemons together; empty: no limit. */
    std::optional<double> requestsPerSecond;
    /** How long the server wants no further request from this daemon, with a 503 response. */
    std::optional<core::Duration> retryAfter;
    /** Whether the response states a limit that cannot be parsed. */
    bool hasMalformedLimit = false;
    std::optional<Load> load;
    /** Whether there is a load report that cannot be parsed. */
    bool hasMalformedLoad = false;
};

/** A caller's query for the entry daemons that it may connect to. */
struct EntryQuery
{
    std::string region;
    std::string failureDomain;
};

/** Header names and message formats of one platform. Implementations are stateless. */
class WireProtocol
{
public:
    virtual ~WireProtocol() = default;

    virtual CallerRequestFields readCallerRequest(const Poco::Net::HTTPRequest &request) const = 0;
    /** Sets the header fields for the target server and the remaining time. */
    virtual void setTargetServer(Poco::Net::HTTPRequest &request, const std::string &serverId,
                                 core::Duration timeLeft) const = 0;
    /** Removes the key and all names of teams, and sets the team's name unless it is empty. */
    virtual void setTeam(Poco::Net::HTTPRequest &request, const std::string &teamName) const = 0;
    /** Returns the WWW-Authenticate field of a response to a request without a known key. */
    virtual std::string authenticationChallenge() const = 0;
    virtual BackendResponseFields
    readBackendResponse(const Poco::Net::HTTPResponse &response) const = 0;
    /** Returns the query if the request asks for entry daemons. */
    virtual std::optional<EntryQuery>
    readEntryQuery(const Poco::Net::HTTPRequest &request) const = 0;
    /** Returns the response body for an entry query; callers may cache it for the lifetime. */
    virtual std::string formatEntryResponse(const std::vector<std::string> &addresses,
                                            core::Duration lifetime) const = 0;
};

} // namespace sardinehollow::gateway
