#pragma once

#include "sardinehollow_network/client/ClientPool.h"

#include <string>

namespace sardinehollow::entry {

/** Connections to backend servers and to the forward listeners of peers, by "IP:port". */
using ForwardPool = network::ClientPool<std::string, network::ClientConnection>;

/** Acquires a connection; see ClientPool::acquire(). An idle limit of 0 forces a new connection. */
network::ClientConnection &acquireConnection(ForwardPool &pool, network::EventLoop &loop,
                                             const std::string &address, core::Duration idleLimit,
                                             core::Duration connectTimeout);

} // namespace sardinehollow::entry
