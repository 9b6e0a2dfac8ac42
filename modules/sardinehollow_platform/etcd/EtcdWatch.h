#pragma once

#include "sardinehollow_core/http/HttpConnection.h"
#include "sardinehollow_platform/store/Watch.h"
#include "sardinehollow_platform/store/WatchListener.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace sardinehollow::platform {

/** A watch stream of the etcd JSON mapping: one JSON object on each line of a chunked response. */
class EtcdWatch : public Watch
{
public:
    /**
     * The request body is a create_request. The listener's onEnded() is called if the stream ends
     * or no message arrives for the idle time-out.
     */
    EtcdWatch(std::string address, std::string requestBody, std::chrono::milliseconds idleTimeout,
              WatchListener &listener);
    ~EtcdWatch() override;

    EtcdWatch(const EtcdWatch &) = delete;
    EtcdWatch &operator=(const EtcdWatch &) = delete;

private:
    void run();
    /** Reads messages until the stream ends; returns the reason. */
    core::Error readStream();
    void connect();
    void handleLine(const std::string &line);

    const std::string m_address;
    const std::string m_requestBody;
    const std::chrono::milliseconds m_idleTimeout;
    WatchListener &m_listener;
    std::atomic<bool> m_isStopping {false};
    std::mutex m_mutex;
    std::unique_ptr<core::HttpConnection> m_connection;
    /** Highest revision of the store received so far. */
    std::int64_t m_revision = 0;
    std::thread m_thread;
};

} // namespace sardinehollow::platform
