#include "sardinehollow_network/server/QueryListener.h"
#include "sardinehollow_network/loop/BootClock.h"
#include "support/LoopThread.h"

#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

using namespace sardinehollow;

namespace {

constexpr std::size_t answerBytes = 100'000;
constexpr std::size_t queryCount = 1000;
// What the sockets' buffers and one connection of the listener may hold.
constexpr std::size_t maxBufferedBytes = 16 * 1024 * 1024;

} // namespace

// Guards against answers that pile up for a peer that sends queries and reads nothing.
TEST_CASE("Queries are answered only as fast as the peer reads the answers")
{
    const network::BootClock clock;
    network::EventLoop loop(clock);
    std::size_t answers = 0;
    const std::string body(answerBytes, 'x');
    network::QueryListener listener(
            loop, "127.0.0.1:0",
            [&](const Poco::Net::HTTPRequest &) {
                ++answers;
                return network::QueryListener::Answer {200, "text/plain", body};
            },
            [](const std::string &) {});
    tests::LoopThread loopThread(loop);
    Poco::Net::StreamSocket peer(listener.address());
    std::string queries;
    for (std::size_t query = 0; query < queryCount; ++query)
        queries += "GET / HTTP/1.1\r\n\r\n";
    peer.sendBytes(queries.data(), static_cast<int>(queries.size()));
    loopThread.runIterations(100);
    std::size_t answered = 0;
    loopThread.run([&] { answered = answers; });
    CHECK(answered * answerBytes < maxBufferedBytes);
    // The others are answered once the peer reads.
    std::string buffer(answerBytes, '\0');
    std::size_t received = 0;
    while (received < queryCount * answerBytes)
        received += static_cast<std::size_t>(
                peer.receiveBytes(buffer.data(), static_cast<int>(buffer.size())));
    loopThread.run([&] { answered = answers; });
    CHECK(answered == queryCount);
}
