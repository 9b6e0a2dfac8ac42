#include "sardinehollow_entry/server/EntryServer.h"

namespace sardinehollow::entry {

namespace {

// Interval at which load is polled and expired idle connections are closed.
constexpr core::Duration tickInterval = std::chrono::seconds(1);

} // namespace

EntryServer::EntryServer(const EntryServerSettings &settings, EntryServices &services)
    : m_services(services)
    , m_loop(services.clock)
    , m_pool(m_loop)
    , m_exchanges(m_loop)
    , m_claimThreads(settings.claimThreads)
    , m_context {services, m_loop, m_pool, m_exchanges, m_claimThreads}
    , m_poller(m_loop, services, m_pool)
    , m_callerHandlers(m_context, settings.idleTimeout, false)
    , m_peerHandlers(m_context, settings.idleTimeout, true)
    , m_callers(listen(settings.callerAddress, m_callerHandlers))
    , m_peers(listen(settings.forwardAddress, m_peerHandlers))
    , m_callerAddress(m_callers->address().toString())
    , m_forwardAddress(m_peers->address().toString())
    , m_thread(m_loop)
{ }

EntryServer::~EntryServer()
{
    stop();
}

void EntryServer::stop()
{
    m_thread.stop();
    m_claimThreads.stop();
}

std::unique_ptr<network::ServerListener> EntryServer::listen(const std::string &address,
                                                             EntryHandlerFactory &factory)
{
    return std::make_unique<network::ServerListener>(
            m_loop, address, factory, [this, address](const std::string &reason) {
                m_services.metrics.add("accept_failures_total");
                m_services.log.write(logging::LogLine("accept-failed")
                                             .text("address", address)
                                             .text("error", reason));
            });
}

void EntryServer::start()
{
    m_loop.schedule(tickInterval, [this] { onTick(); });
    m_thread.start();
}

void EntryServer::stopAccepting()
{
    m_loop.post([this] {
        for (network::ServerListener *listener : {m_callers.get(), m_peers.get()}) {
            listener->stopAccepting();
            listener->closeIdle(core::Duration(0));
        }
    });
}

void EntryServer::deliver(std::vector<policy::Decision> decisions)
{
    if (decisions.empty())
        return;
    m_loop.post([this, decisions = std::move(decisions)] { m_exchanges.deliver(decisions); });
}

void EntryServer::onTick()
{
    m_pool.prune([](const network::ClientConnection &) { return false; });
    m_poller.poll();
    m_loop.schedule(tickInterval, [this] { onTick(); });
}

} // namespace sardinehollow::entry
