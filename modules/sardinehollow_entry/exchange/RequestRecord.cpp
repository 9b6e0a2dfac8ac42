#include "sardinehollow_entry/exchange/RequestRecord.h"

namespace sardinehollow::entry {

void RequestRecord::end(RequestEnd end, int status, policy::RefusalReason reason)
{
    m_end = end;
    m_status = status;
    m_reason = reason;
}

void RequestRecord::endHold(core::Instant now)
{
    if (m_holdStartedAt.count() == 0)
        return;
    m_held += now - m_holdStartedAt;
    m_holdStartedAt = core::Instant(0);
}

void RequestRecord::addTarget(const std::string &target)
{
    m_targets += (m_targets.empty() ? "" : " ") + target;
}

logging::LogLine RequestRecord::line(const RequestContext &context, const std::string &caller,
                                     core::Instant now) const
{
    const policy::RequestOffer &offer = context.offer;
    logging::LogLine line("request");
    line.text("id", context.requestId)
            .text("caller", caller)
            .text("kind", context.kind.name)
            .number("generation", static_cast<std::int64_t>(context.configuration->generation))
            .text("rank", context.kind.rank)
            .text("forwardedFrom", offer.originFailureDomain)
            .text("outcome", toName(m_end))
            .number("status", m_status)
            .text("reason", policy::toName(m_reason))
            .number("attempts", context.attempts)
            .text("targets", m_targets)
            .milliseconds("heldMs", m_held)
            .milliseconds("deadlineMs", offer.deadline - offer.arrival)
            .milliseconds("ms", now - offer.arrival);
    return line;
}

} // namespace sardinehollow::entry
