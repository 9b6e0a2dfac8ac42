#include "sardinehollow_policy/facade/AttemptOutcome.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::policy {

namespace {

constexpr core::NameTable names {std::array<std::pair<AttemptOutcome, std::string_view>, 7> {{
        {AttemptOutcome::Completed, "completed"},
        {AttemptOutcome::NotRun, "not-run"},
        {AttemptOutcome::ConnectFailed, "connect-failed"},
        {AttemptOutcome::ConnectionLost, "connection-lost"},
        {AttemptOutcome::TimedOut, "timed-out"},
        {AttemptOutcome::Truncated, "truncated"},
        {AttemptOutcome::CallerLeft, "caller-left"},
}}};

} // namespace

std::string_view toName(AttemptOutcome outcome)
{
    return names.name(outcome);
}

} // namespace sardinehollow::policy
