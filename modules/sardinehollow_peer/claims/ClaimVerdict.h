#pragma once

#include "sardinehollow_policy/reasons/RefusalReason.h"

#include <string>

namespace sardinehollow::peer {

/** Answer of the owner of a scope to a call. */
struct ClaimVerdict
{
    enum class Result {
        /** Begin: the request may run. Finish and Release: the operation is recorded. */
        Proceed,
        Replay,
        Unknown,
        Refuse,
    };

    Result result = Result::Refuse;
    policy::RefusalReason reason = policy::RefusalReason::None;
    /** Status and body of the recorded response (Replay). */
    int status = 0;
    std::string body;
    /**
     * False if no daemon answered that is certain to own the scope: this request does not run, but
     * an earlier one with the same key may have run.
     */
    bool confirmed = true;

    bool operator==(const ClaimVerdict &) const = default;
};

} // namespace sardinehollow::peer
