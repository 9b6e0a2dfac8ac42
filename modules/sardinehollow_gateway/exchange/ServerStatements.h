#pragma once

#include "sardinehollow_gateway/exchange/GatewayServices.h"

#include <string>
#include <string_view>

namespace sardinehollow::gateway {

/** What the head of a response states of its server: departure, pause and request limit. */
class ServerStatements
{
public:
    /** The arguments must outlive the object. */
    ServerStatements(GatewayServices &services, routing::BackendState &server,
                     const BackendResponseFields &fields, const std::string &requestId);

    /** Applies the statements to the server's state; changes are logged and counted. */
    void apply();
    /** Returns the start of a log line about a server that responded to a request. */
    static logging::LogLine line(std::string_view event, const routing::BackendState &server,
                                 const std::string &requestId);

private:
    void applyLeave();
    void applyPause();
    /** Applies the limit that the response states, or its absence. */
    void applyRateLimit();
    logging::LogLine line(std::string_view event) const;

    GatewayServices &m_services;
    routing::BackendState &m_server;
    const BackendResponseFields &m_fields;
    const std::string &m_requestId;
};

} // namespace sardinehollow::gateway
