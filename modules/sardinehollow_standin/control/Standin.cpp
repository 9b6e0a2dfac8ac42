#include "sardinehollow_standin/control/Standin.h"

#include "sardinehollow_standin/backend/BackendHandler.h"
#include "sardinehollow_standin/control/ControlHandler.h"
#include "sardinehollow_standin/control/HandlerFactory.h"
#include "sardinehollow_standin/platform/EtcdHandler.h"
#include "sardinehollow_standin/platform/KvHandler.h"

namespace sardinehollow::standin {

namespace {

constexpr int minimumThreads = 16;
// Each backend server holds up to 400 connections, and each connection holds a thread.
constexpr int maximumThreads = 8000;
constexpr int idleSeconds = 60;

} // namespace

Standin::Standin(const StandinSettings &settings)
    : m_platform(m_clock, settings)
    , m_threads(minimumThreads, maximumThreads, idleSeconds)
{
    for (const StandinBackend &backend : settings.backendServers)
        m_backendServers.emplace_back(backend, m_runLog, m_clock, settings.seed);
    m_platformListener = std::make_unique<Listener>(
            settings.platformAddress, m_threads,
            new HandlerFactory([this](const Poco::Net::HTTPServerRequest &request)
                                       -> Poco::Net::HTTPRequestHandler * {
                if (KvHandler::serves(request.getURI()))
                    return new KvHandler(m_platform);
                return new EtcdHandler(m_platform);
            }));
    m_platform.silence = &m_platformListener->silence();
    m_faults = std::make_unique<FaultSwitches>(m_platform, *m_platformListener, m_backendServers);
    for (BackendState &state : m_backendServers) {
        state.listener = std::make_unique<Listener>(
                state.settings.address, m_threads,
                new HandlerFactory([&state](const Poco::Net::HTTPServerRequest &) {
                    return new BackendHandler(state);
                }));
    }
    m_controlListener = std::make_unique<Listener>(
            settings.controlAddress, m_threads,
            new HandlerFactory([this](const Poco::Net::HTTPServerRequest &) {
                return new ControlHandler(m_platform, *m_faults, m_runLog, m_backendServers);
            }));
}

Standin::~Standin()
{
    m_platform.stopping = true;
    for (BackendState &state : m_backendServers)
        state.stopping = true;
    m_controlListener.reset();
    m_platformListener->refuse(true);
    for (BackendState &state : m_backendServers)
        state.listener->refuse(true);
    m_threads.joinAll();
}

} // namespace sardinehollow::standin
