#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_network/server/ServerListener.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <future>
#include <string>
#include <thread>

namespace sardinehollow::tests {

/** Stands still until a test moves it, from any thread. */
class SteppedClock : public core::MonotonicClock
{
public:
    core::Instant now() const override { return m_now.load(); }
    void advance(core::Duration step) { m_now = m_now.load() + step; }

private:
    std::atomic<core::Instant> m_now {std::chrono::seconds(100)};
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
    /** Moves the loop's time and returns once the loop has done what fell due. */
    void advance(core::Duration step)
    {
        m_clock.advance(step);
        takeTurns(2);
    }
    /** Returns after the loop has looked at its sockets and timers this often. */
    void takeTurns(int count)
    {
        for (int turn = 0; turn < count; ++turn) {
            std::promise<void> done;
            m_loop.post([&done] { done.set_value(); });
            done.get_future().wait();
        }
    }
    /** Connections that were accepted and are open. */
    std::size_t connections()
    {
        std::promise<std::size_t> count;
        m_loop.post([&] { count.set_value(m_listener.connectionCount()); });
        return count.get_future().get();
    }

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
    SteppedClock m_clock;
    network::EventLoop m_loop {m_clock};
    network::ServerListener m_listener;
    std::thread m_thread;
};

} // namespace sardinehollow::tests
