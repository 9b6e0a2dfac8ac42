#pragma once

#include <Poco/Net/StreamSocket.h>

namespace sardinehollow::core {

/**
 * Sets the options of every TCP connection: no delay of small packets (TCP_NODELAY), and keep-alive
 * probes, so that a peer that vanished is detected within about 10 s. The system sends no probes
 * while sent data is unacknowledged.
 */
void configureSocket(Poco::Net::StreamSocket &socket);

/**
 * Lets the connection fail if sent data is not acknowledged within 10 s (TCP_USER_TIMEOUT). Only
 * for connections whose peer reads at once: Linux also counts the time in which the peer's receive
 * window is closed, from the first pause of the peer on and over all that follow.
 */
void limitAcknowledgementTime(Poco::Net::StreamSocket &socket);

/**
 * Shortens the intervals of both functions above, so that the connection fails about 3 s after its
 * peer has vanished, even while idle.
 */
void detectDeadPeer(Poco::Net::StreamSocket &socket);

} // namespace sardinehollow::core
