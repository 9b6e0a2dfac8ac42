#pragma once

#include "sardinehollow_entry/forwarding/LoadQuery.h"
#include "sardinehollow_entry/handlers/EntryServices.h"

#include <map>
#include <memory>
#include <string>

namespace sardinehollow::entry {

/** Polls the load of the backend servers that this daemon owns. Loop thread only. */
class BackendPoller
{
public:
    BackendPoller(network::EventLoop &loop, EntryServices &services, ForwardPool &pool);

    /** Starts a load query for each owned server that has none outstanding. */
    void poll();

private:
    void poll(const config::BackendServer &server);
    void onEnd(const std::string &server, const std::optional<policy::BackendReport> &report);
    /** Whether this daemon owns the server's slots, by rendezvous hashing over its domain's VMs. */
    bool owns(const config::BackendServer &server, const policy::PeerView &peers) const;

    network::EventLoop &m_loop;
    EntryServices &m_services;
    ForwardPool &m_pool;
    /** Outstanding load queries, by the name of the server. */
    std::map<std::string, std::unique_ptr<LoadQuery>> m_queries;
};

} // namespace sardinehollow::entry
