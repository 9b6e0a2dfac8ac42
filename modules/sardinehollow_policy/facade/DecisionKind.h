#pragma once

#include <string_view>

namespace sardinehollow::policy {

/** What happens to a request next. */
enum class DecisionKind {
    /** Send it to a backend server whose slot is now taken. */
    Dispatch,
    /** Send it to the daemon that owns slots of the pool. */
    Forward,
    /** Keep it in the queue; a later decision follows. */
    Hold,
    /** Refuse it as not run. */
    Refuse,
    /** The request is finished; nothing more follows. */
    Finish,
};

std::string_view toName(DecisionKind kind);

} // namespace sardinehollow::policy
