#pragma once

#include "sardinehollow_network/connection/BufferedConnection.h"
#include "sardinehollow_network/http/BodyDecoder.h"
#include "sardinehollow_network/http/HeadReader.h"
#include "sardinehollow_network/server/RequestHandlerFactory.h"

#include <functional>
#include <memory>
#include <string>

namespace sardinehollow::network {

/** A connection of a caller: reads requests one after the other and writes their responses. */
class ServerConnection : public BufferedConnection, public ResponseSink
{
public:
    using ClosedHandler = std::function<void(ServerConnection &)>;

    /** The handler is called once the connection is closed; it may destroy it later. */
    ServerConnection(EventLoop &loop, RequestHandlerFactory &factory,
                     const Poco::Net::StreamSocket &socket, ClosedHandler onClosed);
    ~ServerConnection() override;

    /** Whether a request is being read or answered. */
    bool isBusy() const { return m_handler != nullptr || !input().empty(); }
    /** Time of the last response or of the connection's start. */
    core::Instant quietSince() const { return m_quietSince; }
    /** Closes a connection without a request in an orderly way. */
    void closeIdle() { closeSoon(); }

protected:
    void onInput() override;
    void onDrained() override;
    void onClosed(const std::string &reason) override;

private:
    void sendResponse(Poco::Net::HTTPResponse &response, std::string_view body) override;
    void startResponse(Poco::Net::HTTPResponse &response) override;
    void sendPart(std::string_view bytes) override;
    void finishResponse() override;
    void abortResponse() override;
    std::size_t unsentResponseBytes() const override { return unsentBytes(); }
    void setRequestReading(bool reading) override;
    std::string peerHost() const override { return BufferedConnection::peerHost(); }

    void readRequests();
    bool readRequestHead();
    void readRequestBody();
    void startRequest(const Poco::Net::HTTPRequest &request);
    /** Refuses a request that cannot be read on; the connection ends with the answer. */
    void rejectRequest(RequestFault fault);
    /** Makes a handler for a request whose head cannot be read. */
    void rejectHead(RequestFault fault);
    bool hasBody(const Poco::Net::HTTPResponse &response) const;
    void setPersistence(Poco::Net::HTTPResponse &response);
    void endRequest();
    void armTimer();
    void schedule(core::Duration limit);
    void onTimer();
    void closeSoon();
    void notifyClosed();

    RequestHandlerFactory &m_factory;
    const ClosedHandler m_onClosed;
    std::shared_ptr<RequestHandler> m_handler;
    std::unique_ptr<BodyDecoder> m_bodyDecoder;
    bool m_isHeadRequest = false;
    /** Whether the caller understands chunks. */
    bool m_allowsChunks = true;
    bool m_isBodyWhole = false;
    bool m_isPersistent = true;
    /** Whether the response that was started has a body; parts of others are dropped. */
    bool m_isBodySent = false;
    bool m_isChunked = false;
    /** The end of the connection ends the body that was started. */
    bool m_isUntilClose = false;
    bool m_isResponseDone = false;
    bool m_isClosing = false;
    bool m_isNotified = false;
    core::Instant m_quietSince;
    /** When the first byte of the head that is being read came; 0 if none has. */
    core::Instant m_headSince {0};
    EventLoop::Timer m_timer;
    /** Bytes that waited for the caller when the timer was set. */
    std::size_t m_unsentAtSchedule = 0;
};

} // namespace sardinehollow::network
