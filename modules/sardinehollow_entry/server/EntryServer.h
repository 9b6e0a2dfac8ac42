#pragma once

#include "sardinehollow_entry/forwarding/BackendPoller.h"
#include "sardinehollow_entry/handlers/EntryContext.h"
#include "sardinehollow_entry/handlers/EntryHandlerFactory.h"
#include "sardinehollow_entry/server/LoopThread.h"
#include "sardinehollow_network/server/ServerListener.h"

#include <memory>
#include <string>
#include <vector>

namespace sardinehollow::entry {

/** Addresses and limits of an entry server. */
struct EntryServerSettings
{
    /** "IP:port" for callers. */
    std::string callerAddress;
    /** "IP:port" for requests that peers forward. */
    std::string forwardAddress;
    /** Time after which an idle connection is closed. */
    core::Duration idleTimeout {0};
    /** Maximum number of threads for calls of the claim gate. */
    std::size_t claimThreads = 0;
};

/** Serves callers and peers on one event loop. Public members are safe for concurrent use. */
class EntryServer
{
public:
    /** Binds the addresses; throws Poco::Exception if that fails. */
    EntryServer(const EntryServerSettings &settings, EntryServices &services);
    ~EntryServer();

    void start();
    /** Stops the loop and waits for open calls of the claim gate, which must still work. */
    void stop();
    /** Stops accepting connections and closes idle ones; requests in flight continue. */
    void stopAccepting();
    /** Delivers policy decisions to their requests. */
    void deliver(std::vector<policy::Decision> decisions);

    /** The bound "IP:port", also if the settings leave the port to the system (0). */
    std::string callerAddress() const { return m_callerAddress; }
    std::string forwardAddress() const { return m_forwardAddress; }
    /** Only the atomic counters may be read from other threads. */
    const ForwardPool &pool() const { return m_pool; }

private:
    std::unique_ptr<network::ServerListener> listen(const std::string &address,
                                                    EntryHandlerFactory &factory);
    void onTick();

    EntryServices &m_services;
    network::EventLoop m_loop;
    ForwardPool m_pool;
    ExchangeRegistry m_exchanges;
    ClaimThreadPool m_claimThreads;
    EntryContext m_context;
    BackendPoller m_poller;
    EntryHandlerFactory m_callerHandlers;
    EntryHandlerFactory m_peerHandlers;
    std::unique_ptr<network::ServerListener> m_callers;
    std::unique_ptr<network::ServerListener> m_peers;
    std::string m_callerAddress;
    std::string m_forwardAddress;
    LoopThread m_thread;
};

} // namespace sardinehollow::entry
