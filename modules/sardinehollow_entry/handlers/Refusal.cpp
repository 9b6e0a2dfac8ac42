#include "sardinehollow_entry/handlers/Refusal.h"

namespace sardinehollow::entry {

void refuse(EntryServices &services, network::ResponseSink &caller, const Problem &problem)
{
    services.metrics.countRefusal(problem.reason);
    services.log.writeRequest(
            logging::LogLine("refused")
                    .text("id", problem.requestId)
                    .text("caller", caller.peerHost())
                    .number("generation", static_cast<std::int64_t>(problem.generation))
                    .text("outcome", toName(problem.outcome))
                    .number("status", problem.status)
                    .text("reason", policy::toName(problem.reason)),
            services.clock.now());
    sendProblem(caller, problem);
}

} // namespace sardinehollow::entry
