#include "sardinehollow_entry/forwarding/ForwardPool.h"

namespace sardinehollow::entry {

network::ClientConnection &acquireConnection(ForwardPool &pool, network::EventLoop &loop,
                                             const std::string &address, core::Duration idleLimit,
                                             core::Duration connectTimeout)
{
    return pool.acquire(address, idleLimit,
                        [&](network::ClientConnection::ReleaseHandler onRelease) {
                            return std::make_unique<network::ClientConnection>(
                                    loop, Poco::Net::SocketAddress(address), connectTimeout,
                                    std::move(onRelease));
                        });
}

} // namespace sardinehollow::entry
