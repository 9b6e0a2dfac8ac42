#pragma once

namespace sardinehollow::peer {

/** Operation that a daemon requests from the owner of a scope. */
enum class ClaimOperation {
    Begin,
    Finish,
    Release,
};

} // namespace sardinehollow::peer
