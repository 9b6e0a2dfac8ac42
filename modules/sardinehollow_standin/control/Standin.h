#pragma once

#include "sardinehollow_core/time/SystemClock.h"
#include "sardinehollow_standin/control/FaultSwitches.h"
#include "sardinehollow_standin/server/InterruptibleListener.h"
#include "sardinehollow_standin/settings/StandinSettings.h"

#include <Poco/ThreadPool.h>

#include <deque>
#include <memory>

namespace sardinehollow::standin {

/** The simulated platform and backend servers of one stand-in process. */
class Standin
{
public:
    /** Starts all listeners; throws Poco::Exception if an address cannot be bound. */
    explicit Standin(const StandinSettings &settings);
    ~Standin();

    Standin(const Standin &) = delete;
    Standin &operator=(const Standin &) = delete;

    /** "IP:port" with the port that was bound. */
    const std::string &platformAddress() const { return m_platformListener->address(); }
    const std::string &controlAddress() const { return m_controlListener->address(); }
    FaultSwitches &faults() { return *m_faultSwitches; }
    PlatformState &platform() { return m_platform; }
    std::deque<SimulatedBackend> &backendServers() { return m_backendServers; }
    const RunCounter &runCounter() const { return m_runCounter; }

private:
    core::SystemClock m_clock;
    PlatformState m_platform;
    RunCounter m_runCounter;
    std::deque<SimulatedBackend> m_backendServers;
    Poco::ThreadPool m_threads;
    std::unique_ptr<InterruptibleListener> m_platformListener;
    std::unique_ptr<FaultSwitches> m_faultSwitches;
    std::unique_ptr<InterruptibleListener> m_controlListener;
};

} // namespace sardinehollow::standin
