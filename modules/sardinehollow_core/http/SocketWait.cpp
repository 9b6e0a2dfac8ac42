#include "sardinehollow_core/http/SocketWait.h"

#include <Poco/Net/SocketImpl.h>

#include <algorithm>

#include <poll.h>

namespace sardinehollow::core {

bool waitReadable(const Poco::Net::Socket &socket, Duration timeout)
{
    pollfd descriptor {socket.impl()->sockfd(), POLLIN, 0};
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(timeout);
    const auto timeoutMs = std::max<std::int64_t>(milliseconds.count(), 0);
    return ::poll(&descriptor, 1, static_cast<int>(timeoutMs)) > 0;
}

} // namespace sardinehollow::core
