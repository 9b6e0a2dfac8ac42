#include "sardinehollow_network/loop/BootClock.h"

#include <ctime>

namespace sardinehollow::network {

core::Instant BootClock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace sardinehollow::network
