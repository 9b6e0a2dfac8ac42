#include "network/ServerWorld.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>
#include <vector>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

/** Holds every descriptor of this process but one, below a limit of the process's own. */
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
            m_held.push_back(copy);
        release();
    }
    ~DescriptorShortage()
    {
        while (!m_held.empty())
            release();
        setrlimit(RLIMIT_NOFILE, &m_limit);
    }

    void release()
    {
        close(m_held.back());
        m_held.pop_back();
    }

private:
    rlimit m_limit {};
    std::vector<int> m_held;
};

} // namespace

TEST_CASE("A listener without a free descriptor says so once, rests, and accepts again")
{
    tests::ServerWorld world("body", true);
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    // Takes the last descriptor, so that the connection waits to be accepted.
    auto shortage = std::make_unique<DescriptorShortage>();
    Poco::Net::StreamSocket socket(world.address());
    while (world.failures() == 0)
        world.takeTurns(1);
    shortage.reset();
    // The connection could be accepted now, but the loop's time stands still: a listener that does
    // not rest would take it in the next turn.
    world.takeTurns(100);
    CHECK(world.connections() == 0);
    CHECK(world.failures() == 1);
    while (world.connections() == 0)
        world.advance(50ms);
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    CHECK(tests::ServerWorld::readAll(socket).find("body") != std::string::npos);
}
