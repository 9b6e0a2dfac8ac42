#pragma once

#include "sardinehollow_network/client/ResponseListener.h"
#include "sardinehollow_network/connection/BufferedConnection.h"
#include "sardinehollow_network/http/BodyDecoder.h"

#include <functional>
#include <memory>
#include <string>

namespace sardinehollow::network {

/** A connection to a server that carries one request at a time. */
class ClientConnection : public BufferedConnection
{
public:
    /** Called when the connection is free for another request (true) or of no more use (false). */
    using ReleaseHandler = std::function<void(ClientConnection &, bool)>;

    /** Starts to connect; throws Poco::Exception if that fails at once. */
    ClientConnection(EventLoop &loop, const Poco::Net::SocketAddress &address,
                     core::Duration connectTimeout, ReleaseHandler onRelease);
    ~ClientConnection() override;

    /** Starts a request; its body follows by send(). */
    void start(const std::string &head, const std::string &method, ResponseListener &listener);
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

    /** The connection was made, this long after its start. */
    virtual void onEstablished(core::Duration /*elapsed*/) { }
    /** Returns false if the response answers an earlier request; it is dropped then. */
    virtual bool acceptsResponse(const Poco::Net::HTTPResponse & /*response*/) { return true; }
    /** The request ended, with a whole response or without. */
    virtual void onRequestEnded(bool /*isAnswered*/) { }

private:
    bool readResponseHead();
    void readResponseBody();
    void onHead(const Poco::Net::HTTPResponse &response);
    void noteKeepAlive(const Poco::Net::HTTPResponse &response);
    void finishResponse();
    void fail(AttemptFailure failure, const std::string &detail);
    void release(bool isReusable);

    const ReleaseHandler m_onRelease;
    ResponseListener *m_listener = nullptr;
    std::string m_method;
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
};

} // namespace sardinehollow::network
