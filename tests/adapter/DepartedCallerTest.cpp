#include "adapter/ExchangeFixture.h"
#include "adapter/GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using tests::ExchangeFixture;
using tests::GatewayFixture;
using tests::RawServer;
using Reply = RawServer::Reply;

namespace {

Reply complete(const std::string &head)
{
    return {GatewayFixture::completeResponse(head, "body")};
}

/** Waits for the complete response to a request for a target. */
void exchange(ExchangeFixture &fixture, const std::string &target)
{
    Poco::Net::StreamSocket socket = fixture.connect();
    ExchangeFixture::sendRequest(socket, target, "Connection: close\r\n");
    char buffer[4096];
    while (socket.receiveBytes(buffer, sizeof buffer) > 0)
        continue;
}

} // namespace

// GONE: a busy daemon sent requests on whose callers' closes it had received, but not read yet.
TEST_CASE("A request whose caller has closed its connection is not sent to a server")
{
    enum class Close { Orderly, Reset };
    struct DepartureCase
    {
        const char *failure;
        /** Whether the caller's connection was accepted before the daemon fell behind. */
        bool isKnown;
        bool hasMoreInput;
        Close close;
    };
    const DepartureCase item = GENERATE(
            DepartureCase {"the close lies behind the request", true, false, Close::Orderly},
            DepartureCase {"the connection waits to be accepted", false, false, Close::Orderly},
            DepartureCase {"unread bytes hide the close", true, true, Close::Orderly},
            DepartureCase {"a reset is not a close", false, false, Close::Reset});
    CAPTURE(item.failure);
    RawServer server(complete);
    ExchangeFixture fixture;
    fixture.addServer("one", server);
    // A kept connection takes a request at once.
    exchange(fixture, "/first");
    REQUIRE(fixture.attempts() == 1);
    Poco::Net::StreamSocket known = fixture.connect();
    fixture.runIterations();
    fixture.whileHeld([&] {
        Poco::Net::StreamSocket socket = item.isKnown ? known : fixture.connect();
        ExchangeFixture::sendRequest(socket, "/departed");
        if (item.hasMoreInput) {
            const std::string more(100 * 1024, 'x');
            socket.sendBytes(more.data(), static_cast<int>(more.size()));
        }
        if (item.close == Close::Reset)
            socket.setLinger(true, 0);
        known = Poco::Net::StreamSocket();
        socket.close();
    });
    CHECK(fixture.attempts() == 1);
    exchange(fixture, "/last");
    CHECK(fixture.attempts() == 2);
}

// GONE: a retry was sent although the caller's close had arrived with the failure of the attempt.
TEST_CASE("An attempt that fails after the caller has closed its connection is not retried")
{
    std::promise<void> isReceived;
    std::promise<void> mayClose;
    std::promise<void> isClosing;
    const auto breakFirst = [&](const std::string &head) {
        if (head.find("/departed") == std::string::npos)
            return complete(head);
        isReceived.set_value();
        mayClose.get_future().wait();
        isClosing.set_value();
        return Reply {"", true};
    };
    RawServer one(breakFirst);
    RawServer two(breakFirst);
    ExchangeFixture fixture;
    fixture.addServer("one", one);
    fixture.addServer("two", two);
    Poco::Net::StreamSocket socket = fixture.connect();
    ExchangeFixture::sendRequest(socket, "/departed");
    isReceived.get_future().wait();
    fixture.whileHeld([&] {
        mayClose.set_value();
        isClosing.get_future().wait();
        // The close of the server's connection follows on the server's thread.
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        socket.close();
    });
    CHECK(fixture.attempts() == 1);
}

// GONE: the caller of a paused connection left, and its server went on working.
TEST_CASE("A caller's close ends its request also while reading from the caller is paused")
{
    RawServer server([](const std::string &) { return Reply {"", false, true}; });
    ExchangeFixture fixture;
    fixture.addServer("one", server);
    Poco::Net::StreamSocket socket = fixture.connect();
    ExchangeFixture::sendRequest(socket, "/departed");
    fixture.runIterations();
    REQUIRE(fixture.attempts() == 1);
    // A little more than the daemon buffers of pipelined requests.
    const std::string more(72 * 1024, 'x');
    socket.sendBytes(more.data(), static_cast<int>(more.size()));
    fixture.runIterations();
    socket.close();
    fixture.runIterations();
    CHECK(fixture.outcomes(gateway::RequestOutcome::CallerLeft) == 1);
}
