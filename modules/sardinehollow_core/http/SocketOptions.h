#pragma once

#include <Poco/Net/StreamSocket.h>

namespace sardinehollow::core {

/**
 * Sets what every connection of the project needs: no delay of small packets, keep-alive probes
 * and a limit on unacknowledged data, so that a peer that vanished is noticed within about 10 s.
 */
void configureSocket(Poco::Net::StreamSocket &socket);

/** Lets a connection fail about 3 s after its peer has vanished, also while nothing is sent. */
void detectDeadPeer(Poco::Net::StreamSocket &socket);

} // namespace sardinehollow::core
