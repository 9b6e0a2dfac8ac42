#pragma once

#include "sardinehollow_gateway/backend/AttemptListener.h"
#include "sardinehollow_gateway/connection/BufferedConnection.h"
#include "sardinehollow_gateway/http/BodyDecoder.h"
#include "sardinehollow_gateway/http/WireProtocol.h"
#include "sardinehollow_routing/backends/BackendRegistry.h"

#include <functional>
#include <memory>
#include <string>

namespace sardinehollow::gateway {

/** A connection to a backend server that carries one request at a time. */
class BackendConnection : public BufferedConnection
{
public:
    /** Called when the connection is free for another request (true) or of no more use (false). */
    using ReleaseHandler = std::function<void(BackendConnection &, bool)>;

    /** Starts to connect; throws Poco::Exception if that fails at once. */
    BackendConnection(EventLoop &loop, const WireProtocol &protocol,
                      routing::BackendStatePtr server, ReleaseHandler onRelease);
    ~BackendConnection() override;

    const routing::BackendStatePtr &server() const { return m_server; }
    /** Starts a request; its body follows by send(). The id names the expected response. */
    void start(const std::string &head, const std::string &method, const std::string &requestId,
               AttemptListener &listener);
    /** The whole request was handed to send(). */
    void finishRequest() { m_isRequestWhole = true; }
    /** Ends the request early: the listener hears nothing more and the connection is closed. */
    void abandon();

    /** When the connection became free. */
    core::Instant idleSince() const { return m_idleSince; }
    /** How long the server keeps the connection open without a request. */
    core::Duration idleLimit() const { return m_idleLimit; }

protected:
    void onConnected() override;
    void onInput() override;
    void onDrained() override;
    void onClosed(const std::string &reason) override;

private:
    bool readResponseHead();
    void readResponseBody();
    void onHead(const Poco::Net::HTTPResponse &response);
    void noteKeepAlive(const Poco::Net::HTTPResponse &response);
    void finishResponse();
    void fail(AttemptFailure failure, const std::string &detail);
    void release(bool isReusable);

    const WireProtocol &m_protocol;
    const routing::BackendStatePtr m_server;
    const ReleaseHandler m_onRelease;
    AttemptListener *m_listener = nullptr;
    std::string m_method;
    std::string m_requestId;
    std::unique_ptr<BodyDecoder> m_decoder;
    /** The response being read answers an earlier request; it is dropped. */
    bool m_isForeignResponse = false;
    bool m_isRequestWhole = false;
    bool m_isReusable = true;
    bool m_isReleased = false;
    EventLoop::Timer m_connectTimer;
    core::Instant m_idleSince {0};
    core::Duration m_idleLimit;
    const core::Instant m_startedAt;
    core::Instant m_sentAt {0};
    double m_loadAtSend = 0;
};

} // namespace sardinehollow::gateway
