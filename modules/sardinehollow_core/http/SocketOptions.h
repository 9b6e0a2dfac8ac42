#pragma once

#include <Poco/Net/StreamSocket.h>

namespace sardinehollow::core {

/**
 * Sets the options of every TCP connection: no delay of small packets (TCP_NODELAY), keep-alive
 * probes, and a time limit on unacknowledged data (TCP_USER_TIMEOUT), so that a peer that vanished
 * is detected within about 10 s.
 */
void configureSocket(Poco::Net::StreamSocket &socket);

/**
 * Shortens the intervals of configureSocket, so that the connection fails about 3 s after its peer
 * has vanished, even while idle.
 */
void detectDeadPeer(Poco::Net::StreamSocket &socket);

} // namespace sardinehollow::core
