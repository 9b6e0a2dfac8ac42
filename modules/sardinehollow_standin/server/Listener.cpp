#include "sardinehollow_standin/server/Listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace sardinehollow::standin {

namespace {

constexpr int threadsOfServer = 400;
// POCO's server may miss the wake-up of an idle thread as it stops, and then waits this long.
const Poco::Timespan threadIdleTime(0, 200'000);
constexpr int keepAliveSeconds = 60;
constexpr int acceptBacklog = 256;
constexpr std::chrono::milliseconds reopenInterval {50};

} // namespace

Listener::Listener(const std::string &address, Poco::ThreadPool &threads,
                   Poco::Net::HTTPRequestHandlerFactory::Ptr factory)
    : m_address(address)
    , m_threads(threads)
    , m_factory(std::move(factory))
{
    open();
    m_keeper = std::thread([this] { run(); });
}

Listener::~Listener()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_keeper.join();
    close();
}

void Listener::refuseFor(std::chrono::milliseconds duration)
{
    const std::lock_guard lock(m_mutex);
    m_refuseUntil = Clock::now() + duration;
    m_changed.notify_all();
}

void Listener::refuse(bool refusing)
{
    std::unique_lock lock(m_mutex);
    m_refuseUntil = refusing ? Clock::time_point::max() : Clock::time_point();
    m_changed.notify_all();
    m_changed.wait(lock, [this, refusing] { return m_isOpen != refusing || m_stopping; });
}

bool Listener::isRefusing() const
{
    const std::lock_guard lock(m_mutex);
    return m_refuseUntil > Clock::now();
}

void Listener::open()
{
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(threadsOfServer);
    parameters->setMaxQueued(threadsOfServer);
    parameters->setMaxKeepAliveRequests(0);
    parameters->setKeepAliveTimeout(Poco::Timespan(keepAliveSeconds, 0));
    parameters->setThreadIdleTime(threadIdleTime);
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress {m_address}, acceptBacklog);
    m_address = socket.address().toString();
    m_server = std::make_unique<Poco::Net::HTTPServer>(m_factory, m_threads, socket, parameters);
    m_server->start();
}

void Listener::close()
{
    if (m_server)
        m_server->stopAll(true);
    m_server.reset();
}

// Servers are stopped on this thread, as a handler cannot wait for the end of its own server.
void Listener::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const bool refusing = m_refuseUntil > Clock::now();
        if (refusing && m_isOpen) {
            close();
            m_isOpen = false;
            m_changed.notify_all();
        } else if (!refusing && !m_isOpen) {
            try {
                open();
                m_isOpen = true;
                m_changed.notify_all();
            } catch (const Poco::Exception &) {
                // Another process holds the port for a moment.
            }
        }
        if (m_isOpen)
            m_changed.wait(lock, [this] { return m_stopping || m_refuseUntil > Clock::now(); });
        else
            m_changed.wait_for(lock, reopenInterval);
    }
}

} // namespace sardinehollow::standin
