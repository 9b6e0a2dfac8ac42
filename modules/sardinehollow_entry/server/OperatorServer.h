#pragma once

#include "sardinehollow_core/time/SystemClock.h"
#include "sardinehollow_entry/server/LoopThread.h"
#include "sardinehollow_entry/status/StatusSource.h"
#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_network/server/QueryListener.h"

#include <string>

namespace sardinehollow::entry {

/** Serves operators on its own event loop, so that caller load cannot starve their requests. */
class OperatorServer
{
public:
    /** Binds "IP:port"; throws Poco::Exception if that fails. */
    OperatorServer(const std::string &address, StatusSource &status, logging::EventLog &log);
    ~OperatorServer();

    void start() { m_thread.start(); }
    /** The bound "IP:port", also if the given port is 0. */
    std::string address() const { return m_address; }

private:
    network::QueryListener::Answer answer(const std::string &path) const;

    StatusSource &m_status;
    core::SystemClock m_clock;
    network::EventLoop m_loop;
    network::QueryListener m_listener;
    const std::string m_address;
    LoopThread m_thread;
};

} // namespace sardinehollow::entry
