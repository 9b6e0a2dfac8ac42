#include "adapter/ExchangeFixture.h"
#include "adapter/GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using tests::ExchangeFixture;
using tests::GatewayFixture;
using tests::RawServer;
using Reply = RawServer::Reply;

// Guards against requests that a busy daemon sends on although their callers' closes have arrived.
TEST_CASE("A request whose caller has closed its connection is not sent to a server")
{
    struct DepartureCase
    {
        const char *failure;
        /** Whether the caller's connection was accepted before the daemon fell behind. */
        bool isKnown;
        std::size_t furtherBytes;
        bool isReset;
    };
    const DepartureCase item
            = GENERATE(DepartureCase {"the close lies behind the request", true, 0, false},
                       DepartureCase {"the connection waits to be accepted", false, 0, false},
                       DepartureCase {"unread bytes hide the close", true, 100 * 1024, false},
                       DepartureCase {"a reset is not a close", false, 0, true});
    CAPTURE(item.failure);
    RawServer server([](const std::string &head) {
        return Reply {GatewayFixture::completeResponse(head, "body")};
    });
    ExchangeFixture fixture;
    fixture.addServer("one", server.address());
    // The connections to the caller and to the server are kept.
    Poco::Net::StreamSocket known = fixture.send(fixture.request("/first"));
    char byte = 0;
    known.receiveBytes(&byte, 1);
    REQUIRE(fixture.attempts() == 1);
    fixture.loopThread.whileHeld([&] {
        Poco::Net::StreamSocket socket = item.isKnown ? known : fixture.send("");
        fixture.write(socket, fixture.request("/departed") + std::string(item.furtherBytes, 'x'));
        if (item.isReset)
            socket.setLinger(true, 0);
        socket.close();
    });
    fixture.settle();
    CHECK(fixture.attempts() == 1);
    CHECK(fixture.call("/last") == 200);
    CHECK(fixture.attempts() == 2);
}

// Guards against a retry after the caller's close, which came with the failure of the attempt.
TEST_CASE("An attempt that fails after the caller has closed its connection is not retried")
{
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1:0"));
    ExchangeFixture fixture;
    fixture.addServer("one", server.address().toString());
    fixture.addServer("two", server.address().toString());
    Poco::Net::StreamSocket caller = fixture.send(fixture.request("/departed"));
    Poco::Net::StreamSocket attempt = server.acceptConnection();
    char byte = 0;
    attempt.receiveBytes(&byte, 1);
    fixture.loopThread.whileHeld([&] {
        attempt.close();
        caller.close();
    });
    fixture.settle();
    CHECK(fixture.attempts() == 1);
}

// Guards against work that goes on for a caller whose connection is not read.
TEST_CASE("A caller's close ends its request also while reading from the caller is paused")
{
    RawServer server([](const std::string &) { return Reply {"", false, true}; });
    ExchangeFixture fixture;
    fixture.addServer("one", server.address());
    Poco::Net::StreamSocket socket = fixture.send(fixture.request("/departed"));
    fixture.settle();
    REQUIRE(fixture.attempts() == 1);
    // A little more than the daemon buffers of pipelined requests.
    fixture.write(socket, std::string(72 * 1024, 'x'));
    fixture.settle();
    socket.close();
    fixture.settle();
    CHECK(fixture.outcomes(gateway::RequestOutcome::CallerLeft) == 1);
}

// Guards against the use of a connection after its destruction, which the sanitizers report.
TEST_CASE("A response to a caller that has reset its connection is dropped with the connection")
{
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1:0"));
    ExchangeFixture fixture;
    fixture.addServer("one", server.address().toString());
    Poco::Net::StreamSocket caller = fixture.send(fixture.request("/departed"));
    Poco::Net::StreamSocket attempt = server.acceptConnection();
    char head[4096];
    attempt.receiveBytes(head, sizeof head);
    // The response is handled before the reset, but cannot be sent any more.
    fixture.loopThread.whileHeld([&] {
        fixture.write(attempt, GatewayFixture::completeResponse("\r\nAttempt-Id: id\r\n", "body"));
        caller.setLinger(true, 0);
        caller.close();
    });
    fixture.settle();
    CHECK(fixture.outcomes(gateway::RequestOutcome::CallerLeft) == 1);
    // The response was complete, so that its connection is kept.
    CHECK(fixture.pool.size() == 1);
}
