#include "sardinehollow_network/connection/BufferedConnection.h"
#include "sardinehollow_network/loop/BootClock.h"
#include "support/LoopThread.h"

#include <Poco/Net/ServerSocket.h>

#include <catch2/catch.hpp>

using namespace sardinehollow;

namespace {

constexpr std::size_t partBytes = 1024 * 1024;
constexpr int partCount = 100;
// What the connection may hold beside the unsent bytes.
constexpr std::size_t maxSentBytes = 2 * partBytes;

class SendingConnection : public network::BufferedConnection
{
public:
    using BufferedConnection::BufferedConnection;

protected:
    void onInput() override { }
    void onClosed(const std::string & /*reason*/) override { }
};

} // namespace

// Guards against a response without end that is kept as a whole, since its caller reads it as fast
// as it comes and the output buffer therefore never becomes empty.
TEST_CASE("Bytes that were sent are not kept while others wait to be sent")
{
    const network::BootClock clock;
    network::EventLoop loop(clock);
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
    Poco::Net::StreamSocket peer(listener.address());
    std::unique_ptr<SendingConnection> connection;
    tests::LoopThread loopThread(loop);
    const std::string part(partBytes, 'x');
    std::size_t unsentBytes = 0;
    std::size_t bufferedBytes = 0;
    const auto sendPart = [&] {
        connection->send(part);
        unsentBytes = connection->unsentBytes();
        bufferedBytes = connection->outputBytes();
    };
    loopThread.run([&] {
        connection = std::make_unique<SendingConnection>(loop, listener.acceptConnection());
    });
    // More than the sockets' buffers may grow to, so that bytes wait from here on.
    while (unsentBytes < 16 * partBytes)
        loopThread.run(sendPart);
    std::string received(partBytes, '\0');
    for (int count = 0; count < partCount; ++count) {
        for (std::size_t bytes = 0; bytes < partBytes;)
            bytes += static_cast<std::size_t>(
                    peer.receiveBytes(received.data(), static_cast<int>(partBytes - bytes)));
        loopThread.runIterations(2);
        loopThread.run(sendPart);
        REQUIRE(unsentBytes > 0);
        REQUIRE(bufferedBytes <= 2 * unsentBytes + maxSentBytes);
    }
    loopThread.run([&] { connection.reset(); });
}
