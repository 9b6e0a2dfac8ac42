#pragma once

#include "sardinehollow_network/connection/BufferedConnection.h"
#include "sardinehollow_network/http/BodyDecoder.h"
#include "sardinehollow_network/http/HeadReader.h"
#include "sardinehollow_network/server/RequestHandlerFactory.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sardinehollow::network {

/** An HTTP/1.1 connection of a caller; serves its requests one after the other. */
class ServerConnection : public BufferedConnection, public ResponseSink
{
public:
    using ClosedHandler = std::function<void(ServerConnection &)>;

    /** onClosed is called once; it may destroy the connection only from a deferred task. */
    ServerConnection(EventLoop &loop, RequestHandlerFactory &factory,
                     const Poco::Net::StreamSocket &socket, ClosedHandler onClosed);
    ~ServerConnection() override;

    /** Whether a request is being received or answered. */
    bool isBusy() const { return m_handler != nullptr || !input().empty(); }
    /** When the last response ended, or when the connection was accepted. */
    core::Instant idleSince() const { return m_idleSince; }
    /** Closes the connection in an orderly way; for connections that are not busy. */
    void closeIdle() { startClosing(); }

protected:
    void onInput() override;
    void onOutputChanged() override;
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
    bool hasCallerLeft() const override { return hasPeerClosed(); }

    void readRequests();
    bool readRequestHead();
    void readRequestBody();
    void startRequest(const Poco::Net::HTTPRequest &request);
    /** Refuses an invalid request; the connection closes after the response. */
    void rejectRequest(RequestError error);
    /** Creates a handler for a request whose head cannot be read, and refuses the request. */
    void rejectHead(RequestError error);
    bool hasBody(const Poco::Net::HTTPResponse &response) const;
    void setPersistence(Poco::Net::HTTPResponse &response);
    void endRequest();
    void armTimer();
    void schedule(core::Duration limit);
    void onTimer();
    void startClosing();
    void notifyClosed();

    RequestHandlerFactory &m_factory;
    const ClosedHandler m_onClosed;
    /** Counts the output buffer, if the factory has a budget. */
    std::optional<ResponseBudget::Share> m_unsentShare;
    HeadReader m_headReader;
    std::shared_ptr<RequestHandler> m_handler;
    std::unique_ptr<BodyDecoder> m_bodyDecoder;
    bool m_isHeadRequest = false;
    /** Whether the caller supports chunked encoding (HTTP/1.1). */
    bool m_supportsChunked = true;
    bool m_isRequestComplete = false;
    bool m_isPersistent = true;
    /** Whether the current response has a body; if not, sendPart() discards its bytes. */
    bool m_hasResponseBody = false;
    bool m_isChunked = false;
    /** Whether the response body is ended by closing the connection. */
    bool m_isCloseDelimited = false;
    bool m_isResponseDone = false;
    bool m_isClosing = false;
    bool m_isNotified = false;
    const core::Instant m_acceptedAt;
    core::Instant m_idleSince;
    /** When the first byte of the current head arrived; 0 if none has. */
    core::Instant m_headStartedAt {0};
    EventLoop::Timer m_timer;
    /** Unsent bytes when the timer was set, to detect progress of a slow caller. */
    std::size_t m_unsentAtSchedule = 0;
};

} // namespace sardinehollow::network
