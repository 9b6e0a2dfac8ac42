#pragma once

#include "sardinehollow_network/client/ResponseListener.h"
#include "sardinehollow_network/connection/BufferedConnection.h"
#include "sardinehollow_network/http/BodyDecoder.h"
#include "sardinehollow_network/http/HeadReader.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sardinehollow::network {

/** An HTTP/1.1 client connection that carries one request at a time. */
class ClientConnection : public BufferedConnection
{
public:
    /** Called when the connection can be reused (true) or must be discarded (false). */
    using ReleaseHandler = std::function<void(ClientConnection &, bool)>;

    /** Starts to connect; throws Poco::Exception if that fails immediately. */
    ClientConnection(EventLoop &loop, const Poco::Net::SocketAddress &address,
                     core::Duration connectTimeout, ReleaseHandler onRelease);
    ~ClientConnection() override;

    /** Starts a request; its body, if any, is sent with send(). */
    void start(const std::string &head, const std::string &method, ResponseListener &listener);
    /** Marks the request as complete; no more of it is sent. */
    void finishRequest() { m_isRequestComplete = true; }
    /** Cancels the request: the listener is not notified and the connection is reset. */
    void cancel();

    /** When the last response ended. */
    core::Instant idleSince() const { return m_idleSince; }
    /** How long the connection may stay idle before the server is expected to close it. */
    core::Duration idleLimit() const { return m_idleLimit; }

protected:
    void onConnected() override;
    void onInput() override;
    void onDrained() override;
    void onClosed(const std::string &reason) override;

    /** Called when the connection is established, with the time that took. */
    virtual void onEstablished(core::Duration /*elapsed*/) { }
    /** Returns false if the response belongs to an earlier request; it is then discarded. */
    virtual bool acceptsResponse(const Poco::Net::HTTPResponse & /*response*/) { return true; }
    /** Closes the connection after the current response instead of reusing it. */
    void closeAfterResponse() { m_isReusable = false; }
    /** Called when the request ends; isAnswered is true if its response was complete. */
    virtual void onRequestEnded(bool /*isAnswered*/) { }

private:
    bool readResponseHead();
    /** Counts a part of a response to skip; returns false if that exceeds a limit. */
    bool skipBytes(std::size_t count);
    void readResponseBody();
    void onHead(const Poco::Net::HTTPResponse &response);
    void readKeepAlive(const Poco::Net::HTTPResponse &response);
    void finishResponse();
    void fail(AttemptFailure failure, const std::string &detail);
    void release(bool isReusable);

    const ReleaseHandler m_onRelease;
    ResponseListener *m_listener = nullptr;
    std::string m_method;
    HeadReader m_headReader;
    std::unique_ptr<BodyDecoder> m_decoder;
    /** The response being read belongs to an earlier request and is discarded. */
    bool m_isStaleResponse = false;
    /** Interim responses and responses to other requests while waiting for the current one. */
    std::size_t m_skippedResponses = 0;
    /** Bytes of these, with their heads. */
    std::uint64_t m_skippedBytes = 0;
    bool m_isRequestComplete = false;
    bool m_isReusable = true;
    bool m_isReleased = false;
    EventLoop::Timer m_connectTimer;
    core::Instant m_idleSince {0};
    core::Duration m_idleLimit;
    const core::Instant m_startedAt;
};

} // namespace sardinehollow::network
