#pragma once

#include "sardinehollow_standin/backend/SimulatedBackend.h"
#include "sardinehollow_standin/content/ByteRange.h"

#include <Poco/Net/HTTPRequestHandler.h>

namespace sardinehollow::standin {

/** Handles the HTTP requests to one simulated backend server. */
class BackendHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit BackendHandler(SimulatedBackend &backend);

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    void sendLoad(Poco::Net::HTTPServerResponse &response);
    void setLoadHeaders(Poco::Net::HTTPServerResponse &response);
    void sendShedResponse(Poco::Net::HTTPServerResponse &response);
    void handleWorkRequest(Poco::Net::HTTPServerRequest &request,
                           Poco::Net::HTTPServerResponse &response);
    /** Waits for the service time; returns false if the deadline passes or the caller cancels. */
    bool simulateRun(Poco::Net::HTTPServerRequest &request,
                     Poco::Net::HTTPServerResponse &response);
    /** Waits until a time; returns false at once if the caller disconnects or the process stops. */
    bool waitUntil(core::Instant end, Poco::Net::HTTPServerRequest &request) const;
    void sendResponse(Poco::Net::HTTPServerRequest &request,
                      Poco::Net::HTTPServerResponse &response);
    void sendBody(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                  const ByteRange &range);

    SimulatedBackend &m_backend;
};

} // namespace sardinehollow::standin
