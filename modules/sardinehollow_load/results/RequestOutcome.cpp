#include "sardinehollow_load/results/RequestOutcome.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::load {

namespace {

constexpr core::NameTable names {
        std::array<std::pair<RequestOutcome, std::string_view>, requestOutcomeCount> {{
                {RequestOutcome::InTime, "inTime"},
                {RequestOutcome::Late, "late"},
                {RequestOutcome::NotRun, "notRun"},
                {RequestOutcome::Unknown, "unknown"},
                {RequestOutcome::NoAnswer, "noAnswer"},
                {RequestOutcome::ServerError, "serverError"},
                {RequestOutcome::WrongAnswer, "wrongAnswer"},
        }}};

} // namespace

std::string_view toName(RequestOutcome outcome)
{
    return names.name(outcome);
}

} // namespace sardinehollow::load
