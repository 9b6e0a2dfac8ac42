#include "sardinehollow_core/http/SocketOptions.h"

#include <netinet/tcp.h>

namespace sardinehollow::core {

namespace {

constexpr int keepAliveIdleSeconds = 4;
constexpr int keepAliveIntervalSeconds = 2;
constexpr int keepAliveProbes = 3;
constexpr int acknowledgementTimeoutMilliseconds = 10'000;
constexpr int deadPeerProbeSeconds = 1;
constexpr int deadPeerUserTimeoutMilliseconds = 3000;

} // namespace

void configureSocket(Poco::Net::StreamSocket &socket)
{
    socket.setNoDelay(true);
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

void limitAcknowledgementTime(Poco::Net::StreamSocket &socket)
{
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, acknowledgementTimeoutMilliseconds);
}

void detectDeadPeer(Poco::Net::StreamSocket &socket)
{
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, deadPeerProbeSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, deadPeerProbeSeconds);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, deadPeerUserTimeoutMilliseconds);
}

} // namespace sardinehollow::core
