#pragma once

#include <string_view>

namespace sardinehollow::policy {

/** Whether a backend server receives requests from this daemon and, if not, why. */
enum class ServerState {
    Serving,
    /** Another daemon owns the slots of the server. */
    NotOwned,
    /** Ownership is so recent that the former owner may still send requests. */
    HoldOff,
    Leaving,
    Drained,
    /** Ejected as an outlier: slower than the other servers, or failing while they are not. */
    Avoided,
    /** Connections fail; it receives single requests as probes until one succeeds. */
    Unreachable,
    Count,
};

std::string_view toName(ServerState state);

} // namespace sardinehollow::policy
