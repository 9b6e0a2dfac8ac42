#pragma once

#include "sardinehollow_core/time/SystemClock.h"
#include "sardinehollow_entry/server/LoopThread.h"
#include "sardinehollow_entry/status/StatusSource.h"
#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_network/server/QueryListener.h"

#include <string>

namespace sardinehollow::entry {

/** Answers operators on an event loop of its own, so that no flood of callers starves it. */
class OperatorServer
{
public:
    /** Binds "IP:port"; throws Poco::Exception if that fails. */
    OperatorServer(const std::string &address, StatusSource &status, logging::EventLog &log);
    ~OperatorServer();

    void start() { m_thread.start(); }
    /** "IP:port" with the port that was bound. */
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
