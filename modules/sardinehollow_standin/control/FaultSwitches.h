#pragma once

#include "sardinehollow_config/json/Fault.h"
#include "sardinehollow_config/json/ObjectReader.h"
#include "sardinehollow_standin/backend/SimulatedBackend.h"
#include "sardinehollow_standin/platform/PlatformState.h"

#include <deque>

namespace sardinehollow::standin {

/**
 * Sets the fault switches from the JSON of POST /faults; docs/operations/faults.md lists the
 * fields. Switches whose fields are absent are not changed.
 */
class FaultSwitches
{
public:
    FaultSwitches(PlatformState &platform, InterruptibleListener &platformListener,
                  std::deque<SimulatedBackend> &backendServers);

    /** Applies a valid document; changes nothing and returns the errors if it is invalid. */
    config::FaultList apply(const std::string &text);

private:
    void applyPlatform(const Poco::JSON::Object &object);
    void applyBackend(const Poco::JSON::Object &object);

    PlatformState &m_platform;
    InterruptibleListener &m_platformListener;
    std::deque<SimulatedBackend> &m_backendServers;
};

} // namespace sardinehollow::standin
