#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::gateway {

/** What the head of a caller's request says beyond HTTP. */
struct CallerRequestFacts
{
    /** Names one attempt of the caller; empty if it gave none. */
    std::string requestId;
    /** How long the caller waits. */
    std::optional<core::Duration> timeLeft;
    /** The object that the request concerns; empty if unknown. */
    std::string object;
};

/** What the head of a backend server's response says beyond HTTP. */
struct BackendResponseFacts
{
    /** Requests that run and wait, and how many can run, at the time of the response. */
    struct Load
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
    };

    /** The request that this answers; empty if the server does not say. */
    std::string requestId;
    /** Whether the server vouches for the response. */
    bool isSigned = false;
    /** The server states that it did not run the request. */
    bool didNotRun = false;
    /** Another server than the one asked for has the address. */
    bool isOtherServer = false;
    std::optional<Load> load;
};

/** A caller's question which daemons it may connect to. */
struct EntryQuery
{
    std::string region;
    std::string failureDomain;
};

/** Names and formats on the wire of one platform. Implementations are stateless. */
class WireProtocol
{
public:
    virtual ~WireProtocol() = default;

    virtual CallerRequestFacts readCallerRequest(const Poco::Net::HTTPRequest &request) const = 0;
    /** Names the server that is to run the request, and how long it may take. */
    virtual void addressRequest(Poco::Net::HTTPRequest &request, const std::string &serverId,
                                core::Duration timeLeft) const = 0;
    virtual BackendResponseFacts
    readBackendResponse(const Poco::Net::HTTPResponse &response) const = 0;
    /** Returns the query if the request is one for entry daemons. */
    virtual std::optional<EntryQuery>
    readEntryQuery(const Poco::Net::HTTPRequest &request) const = 0;
    /** Returns the body of an answer to an entry query. */
    virtual std::string entryAnswer(const std::vector<std::string> &addresses,
                                    core::Duration lifetime) const = 0;
};

} // namespace sardinehollow::gateway
