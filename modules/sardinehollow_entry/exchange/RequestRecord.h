#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_entry/exchange/RequestContext.h"
#include "sardinehollow_entry/exchange/RequestEnd.h"
#include "sardinehollow_logging/LogLine.h"
#include "sardinehollow_policy/reasons/RefusalReason.h"

#include <string>

namespace sardinehollow::entry {

/** Collects what happens to a request, for its line in the request log. */
class RequestRecord
{
public:
    void end(RequestEnd end, int status, policy::RefusalReason reason);
    /** Starts to count the time for which the policy holds the request. */
    void startHold(core::Instant now) { m_holdStartedAt = now; }
    void endHold(core::Instant now);
    /** Adds a backend server or peer to which the request was sent. */
    void addTarget(const std::string &target);

    logging::LogLine line(const RequestContext &context, const std::string &caller,
                          core::Instant now) const;

private:
    RequestEnd m_end = RequestEnd::CallerLeft;
    int m_status = 0;
    policy::RefusalReason m_reason = policy::RefusalReason::None;
    core::Instant m_holdStartedAt {0};
    core::Duration m_held {0};
    std::string m_targets;
};

} // namespace sardinehollow::entry
