#pragma once

#include "sardinehollow_standin/server/SilentConnections.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace sardinehollow::standin {

/** An HTTP listener that can close all its connections and refuse new ones for some time. */
class InterruptibleListener
{
public:
    /** Binds "IP:port" and starts to serve; throws Poco::Exception if the bind fails. */
    InterruptibleListener(const std::string &address, Poco::ThreadPool &threads,
                          Poco::Net::HTTPRequestHandlerFactory::Ptr factory);
    ~InterruptibleListener();

    InterruptibleListener(const InterruptibleListener &) = delete;
    InterruptibleListener &operator=(const InterruptibleListener &) = delete;

    /** "IP:port" with the port that was bound. */
    const std::string &address() const { return m_address; }
    /** Closes all connections and refuses new ones for the duration. Does not wait. */
    void refuseFor(std::chrono::milliseconds duration);
    /** Closes all connections and refuses new ones, or ends that; waits until this is in effect. */
    void setRefusing(bool refusing);
    bool isRefusing() const;
    SilentConnections &silentConnections() { return m_silentConnections; }

private:
    using Clock = std::chrono::steady_clock;

    void open();
    void close();
    void runControlLoop();

    std::string m_address;
    Poco::ThreadPool &m_threads;
    Poco::Net::HTTPRequestHandlerFactory::Ptr m_factory;
    SilentConnections m_silentConnections;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
    mutable std::mutex m_mutex;
    std::condition_variable m_stateChanged;
    Clock::time_point m_refuseUntil;
    bool m_isOpen = true;
    bool m_stopping = false;
    std::thread m_controlThread;
};

} // namespace sardinehollow::standin
