#pragma once

#include "sardinehollow_core/time/SystemClock.h"
#include "sardinehollow_network/server/ServerListener.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <string>
#include <thread>

namespace sardinehollow::tests {

/** Counts how often the loop looks at the time, which it does in each turn. */
class CountingClock : public core::SystemClock
{
public:
    core::Instant now() const override
    {
        ++m_looks;
        return SystemClock::now();
    }
    std::uint64_t looks() const { return m_looks; }

private:
    mutable std::atomic<std::uint64_t> m_looks {0};
};

/** A listener on a loop of its own whose handlers answer every request with the same body. */
class ServerWorld : public network::RequestHandlerFactory
{
public:
    /** Without a stated length the body is sent in parts. */
    ServerWorld(std::string body, bool statesLength)
        : m_body(std::move(body))
        , m_statesLength(statesLength)
        , m_listener(m_loop, "127.0.0.1:0", *this, [this](const std::string &) { ++m_failures; })
        , m_thread([this] { m_loop.run(); })
    { }

    ~ServerWorld() override
    {
        m_loop.stop();
        m_thread.join();
    }

    Poco::Net::SocketAddress address() const { return m_listener.address(); }
    /** Times that connections could no longer be accepted. */
    int failures() const { return m_failures; }
    std::uint64_t loopTurns() const { return m_clock.looks(); }

    std::shared_ptr<network::RequestHandler> make(network::ResponseSink &sink,
                                                  const Poco::Net::HTTPRequest & /*request*/,
                                                  core::HttpBodyFraming /*framing*/) override
    {
        return std::make_shared<Handler>(sink, m_body, m_statesLength);
    }
    network::ConnectionLimits limits() const override
    {
        return {16 * 1024, std::chrono::seconds(10), std::chrono::seconds(10)};
    }
    bool isLeaving() const override { return false; }

    /** Sends a request and returns all bytes that come until the end of the connection. */
    std::string exchange(const std::string &request) const
    {
        Poco::Net::StreamSocket socket(address());
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        return readAll(socket);
    }

    static std::string readAll(Poco::Net::StreamSocket &socket)
    {
        std::string text;
        std::array<char, 4096> buffer {};
        int count = 0;
        while ((count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()))) > 0)
            text.append(buffer.data(), static_cast<std::size_t>(count));
        return text;
    }

private:
    class Handler : public network::RequestHandler
    {
    public:
        Handler(network::ResponseSink &sink, const std::string &body, bool statesLength)
            : m_sink(sink)
            , m_body(body)
            , m_statesLength(statesLength)
        { }

        void start() override { }
        void onRequestEnd() override
        {
            Poco::Net::HTTPResponse response;
            if (m_statesLength) {
                m_sink.sendResponse(response, m_body);
                return;
            }
            m_sink.startResponse(response);
            m_sink.sendPart(m_body);
            m_sink.finishResponse();
        }
        void onFault(network::RequestFault /*fault*/) override
        {
            Poco::Net::HTTPResponse response(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
            m_sink.sendResponse(response, "fault");
        }

    private:
        network::ResponseSink &m_sink;
        const std::string &m_body;
        const bool m_statesLength;
    };

    const std::string m_body;
    const bool m_statesLength;
    std::atomic<int> m_failures {0};
    CountingClock m_clock;
    network::EventLoop m_loop {m_clock};
    network::ServerListener m_listener;
    std::thread m_thread;
};

} // namespace sardinehollow::tests
