#include "sardinehollow_standin/server/InterruptibleListener.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace sardinehollow::standin {

namespace {

constexpr int maxThreadsPerServer = 400;
// A stopping POCO server may miss the wake-up of an idle thread and then waits this long for it.
const Poco::Timespan threadIdleTime(0, 200'000);
constexpr int keepAliveTimeoutSeconds = 60;
constexpr int acceptBacklog = 256;
constexpr std::chrono::milliseconds reopenInterval {50};

} // namespace

InterruptibleListener::InterruptibleListener(const std::string &address, Poco::ThreadPool &threads,
                                             Poco::Net::HTTPRequestHandlerFactory::Ptr factory)
    : m_address(address)
    , m_threads(threads)
    , m_factory(std::move(factory))
{
    open();
    m_controlThread = std::thread([this] { runControlLoop(); });
}

InterruptibleListener::~InterruptibleListener()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stateChanged.notify_all();
    m_controlThread.join();
    close();
}

void InterruptibleListener::refuseFor(std::chrono::milliseconds duration)
{
    const std::lock_guard lock(m_mutex);
    m_refuseUntil = Clock::now() + duration;
    m_stateChanged.notify_all();
}

void InterruptibleListener::setRefusing(bool refusing)
{
    std::unique_lock lock(m_mutex);
    m_refuseUntil = refusing ? Clock::time_point::max() : Clock::time_point();
    m_stateChanged.notify_all();
    m_stateChanged.wait(lock, [this, refusing] { return m_isOpen != refusing || m_stopping; });
}

bool InterruptibleListener::isRefusing() const
{
    const std::lock_guard lock(m_mutex);
    return m_refuseUntil > Clock::now();
}

void InterruptibleListener::open()
{
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(maxThreadsPerServer);
    parameters->setMaxQueued(maxThreadsPerServer);
    parameters->setMaxKeepAliveRequests(0);
    parameters->setKeepAliveTimeout(Poco::Timespan(keepAliveTimeoutSeconds, 0));
    parameters->setThreadIdleTime(threadIdleTime);
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress {m_address}, acceptBacklog);
    m_address = socket.address().toString();
    m_server = std::make_unique<Poco::Net::HTTPServer>(m_factory, m_threads, socket, parameters);
    m_server->start();
}

void InterruptibleListener::close()
{
    if (m_server)
        m_server->stopAll(true);
    m_server.reset();
}

// Stops and restarts the server. Runs on a thread of its own, as a handler cannot wait for its own
// server to stop.
void InterruptibleListener::runControlLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const bool refusing = m_refuseUntil > Clock::now();
        if (refusing && m_isOpen) {
            close();
            m_isOpen = false;
            m_stateChanged.notify_all();
        } else if (!refusing && !m_isOpen) {
            try {
                open();
                m_isOpen = true;
                m_stateChanged.notify_all();
            } catch (const Poco::Exception &) {
                // Another process holds the port for now; the next iteration tries again.
            }
        }
        if (m_isOpen)
            m_stateChanged.wait(lock,
                                [this] { return m_stopping || m_refuseUntil > Clock::now(); });
        else
            m_stateChanged.wait_for(lock, reopenInterval);
    }
}

} // namespace sardinehollow::standin
