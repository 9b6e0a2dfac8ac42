#pragma once

namespace sardinehollow::policy {

/** Processing phase of an accepted request. */
enum class RequestPhase {
    Queued,
    /** Running on a backend server, where it occupies a slot. */
    Running,
    /** Forwarded to a peer that owns slots. */
    Forwarded,
};

} // namespace sardinehollow::policy
