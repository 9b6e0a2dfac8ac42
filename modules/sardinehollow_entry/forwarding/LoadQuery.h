#pragma once

#include "sardinehollow_entry/forwarding/ForwardPool.h"
#include "sardinehollow_network/client/ResponseListener.h"
#include "sardinehollow_policy/facade/BackendReport.h"

#include <functional>
#include <optional>
#include <string>

namespace sardinehollow::entry {

/** Requests the load report of one backend server (GET /load). */
class LoadQuery : public network::ResponseListener
{
public:
    /** Receives the report, or nothing if there was no valid one in time. */
    using EndHandler = std::function<void(const std::optional<policy::BackendReport> &)>;

    /** The address is the "IP:port" of the server. */
    LoadQuery(network::EventLoop &loop, ForwardPool &pool, std::string address, EndHandler onEnd);
    ~LoadQuery() override;

    void start();

    void onResponseHead(const Poco::Net::HTTPResponse &response, bool hasKnownLength) override;
    void onResponseBody(std::string &&bytes) override;
    void onResponseEnd() override;
    void onAttemptFailed(network::AttemptFailure failure, const std::string &detail) override;
    void onRequestDrained() override { }

private:
    void onTimeout();
    void end(const std::optional<policy::BackendReport> &report);

    network::EventLoop &m_loop;
    ForwardPool &m_pool;
    const std::string m_address;
    const EndHandler m_onEnd;
    network::ClientConnection *m_connection = nullptr;
    network::EventLoop::Timer m_timer;
    std::string m_text;
};

} // namespace sardinehollow::entry
