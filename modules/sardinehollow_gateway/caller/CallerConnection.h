#pragma once

#include "sardinehollow_gateway/connection/BufferedConnection.h"
#include "sardinehollow_gateway/exchange/Exchange.h"
#include "sardinehollow_gateway/http/BodyDecoder.h"
#include "sardinehollow_gateway/http/HeadReader.h"

#include <functional>
#include <memory>
#include <string>

namespace sardinehollow::gateway {

/** A connection of a caller: reads requests one after the other and writes their responses. */
class CallerConnection : public BufferedConnection, public ResponseSink
{
public:
    using ClosedHandler = std::function<void(CallerConnection &)>;

    /** The handler is called once the connection is closed; it may destroy it later. */
    CallerConnection(GatewayServices &services, const Poco::Net::StreamSocket &socket,
                     ClosedHandler onClosed);
    ~CallerConnection() override;

    /** Whether a request is being read or answered. */
    bool isBusy() const { return m_exchange != nullptr || !input().empty(); }
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

    void readRequests();
    bool readRequestHead();
    void readRequestBody();
    void rejectHead(HeadStatus status);
    void startExchange(const Poco::Net::HTTPRequest &request);
    void setPersistence(Poco::Net::HTTPResponse &response);
    void endExchange();
    void armTimer();
    void onTimer();
    void closeSoon();
    void notifyClosed();
    routing::CallerLimits limits() const;

    GatewayServices &m_services;
    const ClosedHandler m_onClosed;
    std::unique_ptr<Exchange> m_exchange;
    std::unique_ptr<BodyDecoder> m_bodyDecoder;
    bool m_isBodyWhole = false;
    bool m_isPersistent = true;
    bool m_isChunked = false;
    bool m_isResponseDone = false;
    bool m_isClosing = false;
    bool m_isNotified = false;
    core::Instant m_quietSince;
    /** When the first byte of the head that is being read came; 0 if none has. */
    core::Instant m_headSince {0};
    EventLoop::Timer m_timer;
};

} // namespace sardinehollow::gateway
