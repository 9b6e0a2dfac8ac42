#pragma once

namespace sardinehollow::platform {

/** How recent the result of a read has to be. */
enum class Freshness {
    /** The state of the store at the time of the call. */
    Current,
    /** A state of the last seconds, which costs the store less. */
    Eventual,
};

} // namespace sardinehollow::platform
