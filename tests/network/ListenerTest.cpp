#include "network/ServerFixture.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>
#include <vector>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

/** Lowers this process's descriptor limit and leaves exactly one descriptor free. */
class DescriptorShortage
{
public:
    DescriptorShortage()
    {
        getrlimit(RLIMIT_NOFILE, &m_limit);
        rlimit lowered = m_limit;
        lowered.rlim_cur = 256;
        setrlimit(RLIMIT_NOFILE, &lowered);
        for (int copy = dup(0); copy >= 0; copy = dup(0))
            m_descriptors.push_back(copy);
        release();
    }
    ~DescriptorShortage()
    {
        while (!m_descriptors.empty())
            release();
        setrlimit(RLIMIT_NOFILE, &m_limit);
    }

    void release()
    {
        close(m_descriptors.back());
        m_descriptors.pop_back();
    }

private:
    rlimit m_limit {};
    std::vector<int> m_descriptors;
};

} // namespace

TEST_CASE("A listener without a free descriptor reports it once, pauses, and accepts again")
{
    tests::ServerFixture fixture("body", true);
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    // The client's socket uses the last descriptor, so its connection cannot be accepted.
    auto shortage = std::make_unique<DescriptorShortage>();
    Poco::Net::StreamSocket socket(fixture.address());
    while (fixture.failures() == 0)
        fixture.runIterations(1);
    shortage.reset();
    // Descriptors are free again, but the loop's clock does not advance: a listener that does not
    // pause would accept the connection in the next iteration.
    fixture.runIterations(100);
    CHECK(fixture.connections() == 0);
    CHECK(fixture.failures() == 1);
    while (fixture.connections() == 0)
        fixture.advance(50ms);
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    CHECK(tests::ServerFixture::readAll(socket).find("body") != std::string::npos);
}

// Guards against connections that wait for a turn of the loop each, until their callers have left.
TEST_CASE("Connections that wait together are accepted in one turn of the loop")
{
    tests::ServerFixture fixture("body", true);
    std::vector<Poco::Net::StreamSocket> sockets;
    std::size_t accepted = 0;
    fixture.whileHeld([&] {
        for (int count = 0; count < 40; ++count)
            sockets.emplace_back(fixture.address());
        fixture.countAtNextTurn(accepted);
    });
    CHECK(accepted == sockets.size());
}
