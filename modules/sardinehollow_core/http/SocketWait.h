#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <Poco/Net/Socket.h>

namespace sardinehollow::core {

/**
 * Waits until data can be read or the connection is closed; returns false if neither happens before
 * the time-out. Calls poll(2) directly, since POCO's poll creates and closes an epoll set on each
 * call, which takes four system calls instead of one.
 */
bool waitReadable(const Poco::Net::Socket &socket, Duration timeout);

} // namespace sardinehollow::core
