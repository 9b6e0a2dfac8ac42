#pragma once

namespace sardinehollow::routing {

/** How a connection attempt failed. */
enum class ConnectFailure {
    /** Nothing listens at the server's address: its process has ended. */
    Refused,
    /** No answer, or an error of the network: the server may run and be cut off from this daemon.
     */
    Unreachable,
};

} // namespace sardinehollow::routing
