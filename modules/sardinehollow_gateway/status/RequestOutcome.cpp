#include "sardinehollow_gateway/status/RequestOutcome.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::gateway {

namespace {

using Entry = std::pair<RequestOutcome, std::string_view>;

constexpr core::NameTable names {std::array {
        Entry {RequestOutcome::Delivered, "delivered"},
        Entry {RequestOutcome::NoConfiguration, "no-configuration"},
        Entry {RequestOutcome::ConfigurationOutdated, "configuration-outdated"},
        Entry {RequestOutcome::NoRoute, "no-route"},
        Entry {RequestOutcome::Unauthorized, "unauthorized"},
        Entry {RequestOutcome::Leaving, "leaving"},
        Entry {RequestOutcome::OverQuota, "over-quota"},
        Entry {RequestOutcome::Malformed, "malformed"},
        Entry {RequestOutcome::HeaderTooLarge, "header-too-large"},
        Entry {RequestOutcome::BodyTooLarge, "body-too-large"},
        Entry {RequestOutcome::RequestTimeout, "request-timeout"},
        Entry {RequestOutcome::NoServer, "no-server"},
        Entry {RequestOutcome::Quarantined, "quarantined"},
        Entry {RequestOutcome::Overloaded, "overloaded"},
        Entry {RequestOutcome::NotRun, "not-run"},
        Entry {RequestOutcome::OutcomeUnknown, "outcome-unknown"},
        Entry {RequestOutcome::TimedOut, "timed-out"},
        Entry {RequestOutcome::CallerLeft, "caller-left"},
        Entry {RequestOutcome::ResponseCut, "response-cut"},
}};

} // namespace

std::string_view toName(RequestOutcome outcome)
{
    return names.name(outcome);
}

} // namespace sardinehollow::gateway
