#pragma once

#include "sardinehollow_standin/control/FaultSwitches.h"

#include <Poco/Net/HTTPRequestHandler.h>

#include <deque>

namespace sardinehollow::standin {

/**
 * Control interface of the stand-in: GET /runs, /calls and /backend-servers return counters, and
 * POST /faults sets the fault switches.
 */
class ControlHandler : public Poco::Net::HTTPRequestHandler
{
public:
    ControlHandler(PlatformState &platform, FaultSwitches &faults, RunCounter &runCounter,
                   std::deque<SimulatedBackend> &backendServers);

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    std::string runsJson() const;
    std::string backendServersJson() const;

    PlatformState &m_platform;
    FaultSwitches &m_faultSwitches;
    RunCounter &m_runCounter;
    std::deque<SimulatedBackend> &m_backendServers;
};

} // namespace sardinehollow::standin
