#include "sardinehollow_peer/transport/ZmqTransport.h"

#include "sardinehollow_core/time/ManualClock.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <functional>

using namespace sardinehollow;
using namespace std::chrono_literals;
using peer::DropReason;
using peer::wire::Envelope;

namespace {

class MessageRecorder : public peer::MessageListener
{
public:
    void onMessage(const Envelope &envelope) override
    {
        const std::lock_guard lock(m_mutex);
        m_generations.push_back(envelope.heartbeat().generation());
    }

    std::size_t count() const
    {
        const std::lock_guard lock(m_mutex);
        return m_generations.size();
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::uint64_t> m_generations;
};

// Waits for a condition that other threads make true; the limit of 30 s only ends a test that
// hangs.
bool eventually(const std::function<bool()> &condition)
{
    for (int attempt = 0; attempt < 3000; ++attempt) {
        if (condition())
            return true;
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

struct Endpoint
{
    explicit Endpoint(const std::string &vm, int connectionQueueLimit = 256)
        : transport(settings(vm, connectionQueueLimit), clock)
    {
        transport.addListener(recorder);
        transport.start();
    }

    static peer::TransportSettings settings(const std::string &vm, int connectionQueueLimit)
    {
        peer::TransportSettings settings;
        settings.vm = vm;
        settings.deployment = "test";
        settings.address = "127.0.0.1:0";
        settings.incarnation = 1;
        settings.connectionQueueLimit = connectionQueueLimit;
        return settings;
    }

    core::ManualClock clock;
    MessageRecorder recorder;
    peer::ZmqTransport transport;
};

Envelope heartbeat()
{
    Envelope envelope;
    envelope.mutable_heartbeat()->set_generation(5);
    return envelope;
}

std::string rawMessage(std::uint64_t sequence)
{
    Envelope envelope = heartbeat();
    envelope.set_protocol_version(peer::protocolVersion);
    envelope.set_deployment("test");
    envelope.set_sender_id("raw");
    envelope.set_incarnation(1);
    envelope.set_sequence(sequence);
    return envelope.SerializeAsString();
}

} // namespace

TEST_CASE("Messages arrive in both directions, and at a daemon that has restarted")
{
    Endpoint first("first");
    auto second = std::make_unique<Endpoint>("second");
    first.transport.setPeers({{"second", second->transport.address()}});
    second->transport.setPeers({{"first", first.transport.address()}});
    REQUIRE(eventually([&] {
        first.transport.send("second", heartbeat());
        second->transport.send("first", heartbeat());
        return first.recorder.count() > 0 && second->recorder.count() > 0;
    }));
    second = std::make_unique<Endpoint>("second");
    second->transport.setPeers({{"first", first.transport.address()}});
    first.transport.setPeers({{"second", second->transport.address()}});
    REQUIRE(eventually([&] {
        first.transport.send("second", heartbeat());
        return second->recorder.count() > 0;
    }));
}

TEST_CASE("Invalid messages of a foreign program are counted and do not stop the transport")
{
    Endpoint endpoint("end");
    endpoint.transport.setPeers({{"raw", "127.0.0.1:1"}});
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.connect("tcp://" + endpoint.transport.address());
    const auto send = [&socket](const std::string &bytes, bool more = false) {
        socket.send(zmq::buffer(bytes), more ? zmq::send_flags::sndmore : zmq::send_flags::none);
    };
    send("noise");
    send(std::string(peer::maximumMessageBytes + 1, 'x'));
    send(rawMessage(1), true);
    send("second part");
    send("");
    send(rawMessage(2));
    send(rawMessage(2));
    REQUIRE(eventually([&] { return endpoint.transport.dropped(DropReason::Duplicate) == 1; }));
    REQUIRE(endpoint.transport.dropped(DropReason::Unparsable) == 2);
    REQUIRE(endpoint.transport.dropped(DropReason::TooLarge) == 1);
    REQUIRE(endpoint.transport.dropped(DropReason::WrongVersion) == 1);
    REQUIRE(endpoint.recorder.count() == 1);
}

TEST_CASE("Queues to a daemon that does not answer are bounded, and its connection is replaced")
{
    constexpr int queueLimit = 4;
    constexpr std::uint64_t messages = 100;
    Endpoint endpoint("end", queueLimit);
    // Nothing listens on this address.
    endpoint.transport.setPeers({{"gone", "127.0.0.1:1"}});
    for (std::uint64_t message = 0; message < messages; ++message)
        endpoint.transport.send("gone", heartbeat());
    REQUIRE(eventually([&] {
        return endpoint.transport.dropped(DropReason::QueueFull) + endpoint.transport.sentMessages()
                == messages;
    }));
    REQUIRE(endpoint.transport.sentMessages() <= queueLimit);
    REQUIRE(endpoint.transport.replacedConnections() == 0);
    endpoint.clock.advance(7s);
    REQUIRE(eventually([&] { return endpoint.transport.replacedConnections() == 1; }));
    endpoint.transport.send("gone", heartbeat());
    REQUIRE(eventually([&] { return endpoint.transport.sentMessages() > queueLimit; }));
}

TEST_CASE("Messages that cannot be sent are counted")
{
    Endpoint endpoint("end");
    endpoint.transport.setPeers({{"bad", "not an address"}});
    Envelope large;
    large.mutable_configuration_parts()->set_piece(std::string(peer::maximumMessageBytes, 'x'));
    endpoint.transport.send("bad", heartbeat());
    endpoint.transport.send("nobody", heartbeat());
    endpoint.transport.send("bad", large);
    REQUIRE(eventually(
            [&] { return endpoint.transport.dropped(DropReason::UnknownReceiver) == 2; }));
    REQUIRE(endpoint.transport.dropped(DropReason::TooLarge) == 1);
}
