#include "sardinehollow_standin/control/Standin.h"

#include "sardinehollow_standin/backend/BackendHandler.h"
#include "sardinehollow_standin/control/ControlHandler.h"
#include "sardinehollow_standin/control/HandlerFactory.h"
#include "sardinehollow_standin/platform/EtcdHandler.h"
#include "sardinehollow_standin/platform/KvHandler.h"

namespace sardinehollow::standin {

namespace {

constexpr int minimumThreads = 16;
// Each simulated backend server serves up to 400 connections, each on a thread of its own.
constexpr int maximumThreads = 8000;
constexpr int idleSeconds = 60;

} // namespace

Standin::Standin(const StandinSettings &settings)
    : m_platform(m_clock, settings)
    , m_threads(minimumThreads, maximumThreads, idleSeconds)
{
    for (const StandinBackendSettings &backend : settings.backendServers)
        m_backendServers.emplace_back(backend, m_runCounter, m_clock, settings.seed);
    m_platformListener = std::make_unique<InterruptibleListener>(
            settings.platformAddress, m_threads,
            new HandlerFactory([this](const Poco::Net::HTTPServerRequest &request)
                                       -> Poco::Net::HTTPRequestHandler * {
                if (KvHandler::serves(request.getURI()))
                    return new KvHandler(m_platform);
                return new EtcdHandler(m_platform);
            }));
    m_platform.silentConnections = &m_platformListener->silentConnections();
    m_faultSwitches
            = std::make_unique<FaultSwitches>(m_platform, *m_platformListener, m_backendServers);
    for (SimulatedBackend &backend : m_backendServers) {
        backend.listener = std::make_unique<InterruptibleListener>(
                backend.settings.address, m_threads,
                new HandlerFactory([&backend](const Poco::Net::HTTPServerRequest &) {
                    return new BackendHandler(backend);
                }));
    }
    m_controlListener = std::make_unique<InterruptibleListener>(
            settings.controlAddress, m_threads,
            new HandlerFactory([this](const Poco::Net::HTTPServerRequest &) {
                return new ControlHandler(m_platform, *m_faultSwitches, m_runCounter,
                                          m_backendServers);
            }));
}

Standin::~Standin()
{
    m_platform.stopping = true;
    for (SimulatedBackend &backend : m_backendServers)
        backend.stopping = true;
    m_controlListener.reset();
    m_platformListener->setRefusing(true);
    for (SimulatedBackend &backend : m_backendServers)
        backend.listener->setRefusing(true);
    m_threads.joinAll();
}

} // namespace sardinehollow::standin
