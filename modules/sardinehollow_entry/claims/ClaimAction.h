#pragma once

namespace sardinehollow::entry {

/** What to do with a non-idempotent request after an attempt to claim its key. */
enum class ClaimAction {
    /** The key was claimed for this request, which may run. */
    Proceed,
    /** The request of this key has already run; its recorded response is sent. */
    Replay,
    /** A request of this key may have run, but its outcome is not known. */
    Unknown,
    /** The claim was refused; the request does not run. */
    Refuse,
};

} // namespace sardinehollow::entry
