#pragma once

#include "sardinehollow_entry/forwarding/LoadQuery.h"
#include "sardinehollow_entry/handlers/EntryServices.h"

#include <map>
#include <memory>
#include <string>

namespace sardinehollow::entry {

/** Asks the backend servers that this daemon owns for their load. For the loop's thread. */
class BackendPoller
{
public:
    BackendPoller(network::EventLoop &loop, EntryServices &services, ForwardPool &pool);

    /** Asks each server once that has answered the last question. */
    void poll();

private:
    void poll(const config::BackendServer &server);
    void onEnd(const std::string &server, const std::optional<policy::BackendReport> &report);
    /** Whether this daemon owns the slots of the server. */
    bool owns(const config::BackendServer &server, const policy::PeerView &peers) const;

    network::EventLoop &m_loop;
    EntryServices &m_services;
    ForwardPool &m_pool;
    /** Questions without an answer yet, by the name of the server. */
    std::map<std::string, std::unique_ptr<LoadQuery>> m_queries;
};

} // namespace sardinehollow::entry
